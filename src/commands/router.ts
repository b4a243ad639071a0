/**
 * `azurestile-router`: runs one router until it gets a stop signal, then
 * drains.
 *
 * @module
 */

import process from "node:process";
import { readSettings, type RouterSettings } from "../config/mod.ts";
import { createLogger, type Logger, watchRuntime } from "../diagnostics/mod.ts";
import { warnOfGrpcMessages } from "../peers/mod.ts";
import { createHttpPlatform } from "../platform/mod.ts";
import { type Router, startRouterOnMachine } from "../router/router.ts";
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

/** The program. */
export const routerProgram: Program<typeof args> = {
  name: "azurestile-router",
  description: "Routes requests of teams to upstreams, with fair sharing",
  args,
  exits: [],
  async run(options) {
    const settings = readSettings(options.settings);
    const logger = createLogger(settings.host, settings.logLevel);
    watchRuntimeWith(logger);
    warnOfGrpcMessages();
    const router = await start(settings, logger);
    await waitForStopSignal(() => stopImmediately(router, logger));
    const { cut } = await router.drain();
    await router[Symbol.asyncDispose]();
    // An open handle of a library must not keep a drained process running.
    process.exit(getExitCode(cut));
  },
};

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

async function start(
  settings: RouterSettings,
  logger: Logger,
): Promise<Router> {
  const platform = createHttpPlatform(settings.platformAddress);
  try {
    return await startRouterOnMachine(settings, { platform, logger });
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    if (!LISTEN_FAILURE.test(reason)) throw err;
    throw new CommandError({
      exit: "failed",
      messageName: "listenFailed",
      args: [reason],
    });
  }
}

/** Resolves at the first signal; each later one calls `onSecondSignal`. */
function waitForStopSignal(onSecondSignal: () => void): Promise<void> {
  let isStopping = false;
  return new Promise((resolve) => {
    const onSignal = () => {
      if (isStopping) onSecondSignal();
      isStopping = true;
      resolve();
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}
