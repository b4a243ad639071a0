/**
 * Reads what an upstream says of its incarnation.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type Agent, type IncomingMessage, request } from "node:http";
import { onProtocolSwitched, startTimeout } from "../core/mod.ts";
import type { ReceivedReport } from "./incarnation_proofs.ts";
import type { CallCodec, UpstreamReport } from "./types.ts";

/** Time-out, in ms, of a report: some round trips between regions. */
const REPORT_TIMEOUT_MS = 400;

/** Limit on the size of a report, in bytes. */
const MAX_REPORT_BYTES = 1_000_000;

/** Asks the upstream at the address. Never rejects. */
export function readReport(
  { agent, codec }: { readonly agent: Agent; readonly codec: CallCodec },
  address: string,
): Promise<ReceivedReport> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const path = codec.reportTarget;
    const req = request({ agent, host, port: Number(port), path });
    const timeout = startTimeout(REPORT_TIMEOUT_MS, () => {
      endUnknown(`No report within ${REPORT_TIMEOUT_MS} ms`);
      req.destroy();
    });

    function end(report: UpstreamReport, connection?: object): void {
      timeout[Symbol.dispose]();
      resolve({ report, connection });
    }

    function endUnknown(reason: string): void {
      end({ kind: "unknown", reason });
    }

    function readBody(res: IncomingMessage): void {
      const { socket, statusCode = 0 } = res;
      const chunks: Buffer[] = [];
      let bytes = 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes <= MAX_REPORT_BYTES) chunks.push(chunk);
        else req.destroy(new Error("The report is too large"));
      });
      res.on("error", (err) => endUnknown(err.message));
      res.on("close", () => endUnknown("The report broke off"));
      res.on("end", () => {
        const body = Buffer.concat(chunks).toString();
        end(codec.readReport(statusCode, body), socket);
      });
    }

    req.on("response", readBody);
    onProtocolSwitched(req, endUnknown);
    req.on("error", (err) => endUnknown(err.message));
    req.end();
  });
}
