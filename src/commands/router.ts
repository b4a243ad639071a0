/**
 * `azurestile-router`: runs one router until it gets a stop signal, then
 * drains.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { readSettings, type RouterSettings } from "../config/mod.ts";
import {
  getErrorMessage,
  isAddressUnavailable,
  type OpenAddress,
  systemClock,
} from "../core/mod.ts";
import { createLogger, type Logger, watchRuntime } from "../diagnostics/mod.ts";
import { warnOfGrpcMessages } from "../peers/mod.ts";
import { createHttpPlatform } from "../platform/mod.ts";
import { type Router, startRouterOnMachine } from "../router/router.ts";
import {
  createStartWaits,
  createStopRequest,
  getAddressLimitMs,
  type SignalRecord,
  StartStopped,
  type StopRequest,
} from "../startup/mod.ts";
import { CommandError } from "./errors.ts";
import { exitCodes } from "./exit_codes.ts";
import type { Program } from "./program.ts";

const args = {
  settings: {
    type: "string",
    required: true,
    valueHint: "FILE",
    description: "Settings of this process, in TOML",
  },
} as const;

/** Errors of HTTP, UDP and gRPC sockets for an address that can't be bound. */
const LISTEN_FAILURE = /EADDR|EACCES|No address added/;

/** Creates the program of a process with the signals that it has received. */
export const createRouterProgram = (
  signals: SignalRecord,
): Program<typeof args> => ({
  name: "azurestile-router",
  description: "Routes requests of teams to upstreams, with fair sharing",
  args,
  exits: [],
  async run(options) {
    const settings = readSettings(options.settings);
    const logger = createLogger(settings.host, settings.logLevel);
    watchRuntimeWith(logger);
    warnOfGrpcMessages();
    signals.forEachSignal(({ name, receivedMs }) =>
      logger.write("info", "signalReceived", {
        args: [name, Math.round(receivedMs)],
      })
    );
    const stop = createStopRequest(signals);
    const router = await tryStart(settings, logger, stop);
    if (router === undefined) {
      logger.write("info", "startStopped");
      process.exit(exitCodes.ok.code);
    }
    await stop.requested;
    stopAtSecondSignal(signals, () => stopImmediately(router, logger));
    const { cut } = await router.drain();
    await router[Symbol.asyncDispose]();
    // An open handle of a library must not keep a drained process running.
    process.exit(getExitCode(cut));
  },
});

function watchRuntimeWith(logger: Logger): void {
  watchRuntime({
    writeWarning: ({ count, kind, message }) =>
      logger.write("warn", "runtimeWarning", { args: [count, kind, message] }),
    writeUncaught: ({ kind, message, stack }) =>
      logger.write("error", "uncaughtError", { args: [kind, message, stack] }),
    // Node writes standard output to pipes and files at once.
    flush: () => Promise.resolve(),
  });
}

/** Responses cut off by the drain limit or a second signal are a failure. */
function getExitCode(cut: number): number {
  return exitCodes[cut > 0 ? "failed" : "ok"].code;
}

function stopImmediately(router: Router, logger: Logger): void {
  const inFlight = router.countInFlight();
  logger.write("warn", "stoppedAtOnce", { args: [inFlight] });
  process.exit(getExitCode(inFlight));
}

/** Returns `undefined` if the process is asked to stop before. */
async function tryStart(
  settings: RouterSettings,
  logger: Logger,
  stop: StopRequest,
): Promise<Router | undefined> {
  const platform = createHttpPlatform(settings.platformAddress);
  const open = createAddressOpener({ settings, logger, stop });
  try {
    return await startRouterOnMachine(settings, { platform, logger, open });
  } catch (err) {
    if (err instanceof StartStopped) return undefined;
    const reason = getErrorMessage(err);
    if (!LISTEN_FAILURE.test(reason)) throw err;
    throw new CommandError({
      exit: "failed",
      messageName: "listenFailed",
      args: [reason],
    });
  }
}

function createAddressOpener(
  { settings, logger, stop }: {
    readonly settings: RouterSettings;
    readonly logger: Logger;
    readonly stop: StopRequest;
  },
): OpenAddress {
  const tryUntilDone = createStartWaits({
    nowMs: systemClock.monotonicMs,
    sleep,
    stop,
    onWaiting: ({ waitsFor, waitedMs, limitMs, reason }) =>
      logger.write("warn", "startWaiting", {
        args: [waitsFor, waitedMs, limitMs, reason],
      }),
  });
  return (address, run) =>
    tryUntilDone(`the address "${address}"`, run, {
      isPassing: isAddressUnavailable,
      limitMs: getAddressLimitMs(settings.drainLimitMs),
    });
}

/** Calls the function at each signal to stop but the first. */
function stopAtSecondSignal(
  signals: SignalRecord,
  onSecondSignal: () => void,
): void {
  let received = 0;
  signals.forEachSignal(({ name }) => {
    if (name !== "SIGHUP" && ++received > 1) onSecondSignal();
  });
}
