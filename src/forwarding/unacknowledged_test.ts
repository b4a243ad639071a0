import { strictEqual } from "node:assert";
import { test } from "node:test";
import { formatEndpoint, parseUnacknowledged } from "./unacknowledged.ts";

const TABLE = [
  "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when",
  "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000",
  "   1: 0100007F:1F90 0200A8C0:01BB 08 0001F4A0:00000000 01:00000012",
].join("\n");

test("the unacknowledged bytes of a connection are read by its endpoints", () => {
  const local = formatEndpoint("127.0.0.1", 8080);
  const remote = formatEndpoint("192.168.0.2", 443);
  strictEqual(parseUnacknowledged(TABLE, `${local} ${remote}`), 0x1f4a0);
});

test("a connection that the kernel no longer lists, or a table of another form, counts as unknown", () => {
  const endpoints = `${formatEndpoint("127.0.0.1", 1)} ${
    formatEndpoint("127.0.0.2", 2)
  }`;
  strictEqual(parseUnacknowledged(TABLE, endpoints), undefined);
  strictEqual(parseUnacknowledged(` ${endpoints} 08\n`, endpoints), undefined);
  strictEqual(parseUnacknowledged("", endpoints), undefined);
});
