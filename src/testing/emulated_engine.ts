/**
 * An emulated model engine in virtual time: it works in steps, in each of which it
 * reads a chunk of every prompt that it has and makes a token of every answer, and
 * keeps the parts that it has read. Its figures are those of the deployments'
 * engines. With one chunk a step, not one a prompt, it told policies apart in
 * another order than the real ones do.
 *
 * @module
 */

/** What an engine does in which time. */
export interface EngineFigures {
  /** A step without anything to read or to attend to, in ms. */
  readonly stepMs: number;
  /** What a step takes longer for each token of context, in ms. */
  readonly contextMsPerToken: number;
  readonly readTokensPerMs: number;
  /** Attention of a token that is read to one before it, in ms. */
  readonly attentionMsPerPair: number;
  /** Tokens of one prompt that are read in a step at most. */
  readonly chunkTokens: number;
  /** Tokens of one event of an answer. */
  readonly eventTokens: number;
  /** Most requests that are worked on at once. */
  readonly slots: number;
}

/** Engines that read much of a prompt between two steps. */
export const wideEngine: EngineFigures = {
  stepMs: 3.29,
  contextMsPerToken: 0.0262e-3,
  readTokensPerMs: 93,
  attentionMsPerPair: 0.442e-6,
  chunkTokens: 4_096,
  eventTokens: 5,
  slots: 48,
};

/** Engines that read half as fast, and little between two steps. */
export const narrowEngine: EngineFigures = {
  ...wideEngine,
  stepMs: 3.82,
  contextMsPerToken: 0.00256e-3,
  readTokensPerMs: 46,
  attentionMsPerPair: 0.242e-6,
  chunkTokens: 512,
};

/** A request to the engine. */
export interface EmulatedRequest {
  readonly sharedPart: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  onRead(nowMs: number): void;
  onEvent(nowMs: number): void;
  onEnd(nowMs: number): void;
}

/** An engine without work. */
export interface EmulatedEngine {
  add(req: EmulatedRequest): void;
  /** Goes on to the time given, in ms; called with times that grow. */
  advance(nowMs: number): void;
  countInFlight(): number;
}

interface Run {
  readonly req: EmulatedRequest;
  leftToRead: number;
  readTokens: number;
  made: number;
}

/** Makes an engine that keeps nothing. */
export function createEmulatedEngine(
  figures: EngineFigures = wideEngine,
): EmulatedEngine {
  const kept = new Set<string>();
  let reading: Run[] = [];
  let running: Run[] = [];
  let busyUntilMs = 0;
  let endStep: (() => void) | undefined;

  function beginReading(run: Run): void {
    if (run.readTokens > 0 || !kept.has(run.req.sharedPart)) return;
    run.readTokens = run.req.sharedTokens;
    run.leftToRead -= run.req.sharedTokens;
  }

  function startStep(nowMs: number): void {
    const context = running.reduce((sum, each) => sum + each.readTokens, 0);
    let stepMs = figures.stepMs + context * figures.contextMsPerToken;
    const free = Math.max(0, figures.slots - running.length);
    const chunks = reading.slice(0, free).map((run) => {
      beginReading(run);
      const tokens = Math.min(figures.chunkTokens, run.leftToRead);
      stepMs += getReadingMs(figures, tokens, run.readTokens);
      return { run, tokens };
    });
    busyUntilMs = nowMs + stepMs;
    endStep = () => {
      makeTokens();
      for (const { run, tokens } of chunks) endChunk(run, tokens);
    };
  }

  function endChunk(run: Run, tokens: number): void {
    run.readTokens += tokens;
    run.leftToRead -= tokens;
    if (run.leftToRead > 0) return;
    reading = reading.filter((each) => each !== run);
    kept.add(run.req.sharedPart);
    run.req.onRead(busyUntilMs);
    running.push(run);
  }

  function makeTokens(): void {
    for (const run of running) {
      run.made++;
      const isLast = run.made >= run.req.outputTokens;
      if (isLast || run.made % figures.eventTokens === 0) {
        run.req.onEvent(busyUntilMs);
      }
      if (isLast) run.req.onEnd(busyUntilMs);
    }
    running = running.filter((each) => each.made < each.req.outputTokens);
  }

  return {
    add(req) {
      const leftToRead = req.sharedTokens + req.ownTokens;
      reading.push({ req, leftToRead, readTokens: 0, made: 0 });
    },
    advance(nowMs) {
      while (nowMs >= busyUntilMs) {
        endStep?.();
        endStep = undefined;
        if (reading.length + running.length === 0) return;
        startStep(Math.max(busyUntilMs, nowMs - 1));
      }
    },
    countInFlight: () => reading.length + running.length,
  };
}

/** Time to read so many tokens behind those that are kept, in ms. */
export function getReadingMs(
  figures: EngineFigures,
  tokens: number,
  keptTokens: number,
): number {
  const pairs = tokens * (keptTokens + tokens / 2);
  return tokens / figures.readTokensPerMs + pairs * figures.attentionMsPerPair;
}
