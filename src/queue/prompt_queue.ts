/**
 * Decides which waiting prompt is sent next, to which upstream, and which is
 * refused.
 *
 * Load: more prompts than the upstreams read in time, from teams of which some
 * send seven times their share. Harm prevented:
 * - Prompts that are read at the same time delay each other and every answer
 *   beside them, and what waits inside an upstream can neither be refused nor
 *   put in a fair order. So this host lets an upstream read a bounded number of
 *   tokens at once and keeps the rest here.
 * - A team that floods would stand before all others. So the next prompt is of
 *   the team that was given least lately.
 * - A request that waits past its use holds the place of one that could still
 *   be on time. So it is refused as soon as it is too late, with when to come
 *   back.
 *
 * @module
 */

/** A prompt that waits. */
export interface WaitingPrompt {
  readonly request: string;
  readonly team: string;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Time to the first event that is on time, in ms. */
  readonly targetMs: number;
  /** Tokens that the upstream has to read, as far as this host knows. */
  getTokens(upstream: string): number;
  /** Upstreams that may be asked, the best first; asked anew at each look. */
  getRanked(): readonly string[];
  /** Called once, after it has left the queue. */
  start(upstream: string, tokens: number): void;
  /** Called once, after it has left the queue; it has not run. */
  refuse(refusal: PromptRefusal): void;
}

/** Why a prompt is refused, and when to come back. */
export interface PromptRefusal {
  readonly reason: "late" | "no-upstream";
  readonly retryAfterMs: number;
}

/** What the queue needs of the process. */
export interface PromptQueueHost {
  nowMs(): number;
}

/** Limits of the queue. */
export interface PromptQueueOptions {
  /** Tokens that this host lets one upstream read at once. */
  readonly maxReadingTokens: number;
  /** A prompt waits this share of its target for the best upstream alone. */
  readonly spillShare: number;
  /** And is refused after this share of it. */
  readonly refuseShare: number;
  readonly retryAfterMs: number;
}

/**
 * - 6,000 tokens take an upstream about 65 ms: one long prompt, or a few short
 *   ones, which then do not wait behind it.
 * - A quarter of the target (200 ms) is what reading a shared part of 13,300
 *   tokens again costs elsewhere.
 * - 0.6 of the target leaves an upstream the time to read the prompt.
 * - After a second a queue of so short waits holds others.
 */
export const defaultPromptQueueOptions: PromptQueueOptions = {
  maxReadingTokens: 6_000,
  spillShare: 0.25,
  refuseShare: 0.6,
  retryAfterMs: 1_000,
};

/** The waiting prompts of one host. */
export interface PromptQueue {
  /** Starts the prompt at once, or keeps it. */
  add(prompt: WaitingPrompt): void;
  /** Takes out a prompt whose caller left; false when it had left already. */
  remove(prompt: WaitingPrompt): boolean;
  /** The upstream has read the prompt, or works on it no more. */
  endReading(upstream: string, tokens: number): void;
  /** Looks at all that wait; called at short intervals. */
  tick(): void;
  getCount(): number;
  /** Tokens being read at the upstream for this host. */
  getReadingTokens(upstream: string): number;
}

/** What a team was given fades to a half in so long, in ms. */
const GIVEN_HALF_LIFE_MS = 2_000;

/** Makes an empty queue. */
export function createPromptQueue(
  host: PromptQueueHost,
  options: PromptQueueOptions = defaultPromptQueueOptions,
): PromptQueue {
  const waiting = new Set<WaitingPrompt>();
  const reading = new Map<string, number>();
  const given = new Map<string, { tokens: number; atMs: number }>();

  function getGiven(team: string, nowMs: number): number {
    const entry = given.get(team);
    if (entry === undefined) return 0;
    const halves = (nowMs - entry.atMs) / GIVEN_HALF_LIFE_MS;
    return entry.tokens * 0.5 ** halves;
  }

  function hasRoom(upstream: string, tokens: number): boolean {
    const now = reading.get(upstream) ?? 0;
    return now === 0 || now + tokens <= options.maxReadingTokens;
  }

  function tryPlace(
    prompt: WaitingPrompt,
    nowMs: number,
  ): string | undefined {
    const [first, second] = prompt.getRanked();
    if (first === undefined) return undefined;
    if (hasRoom(first, prompt.getTokens(first))) return first;
    const waitedMs = nowMs - prompt.arrivedMs;
    const maySpill = waitedMs >= prompt.targetMs * options.spillShare;
    if (!maySpill || second === undefined) return undefined;
    return hasRoom(second, prompt.getTokens(second)) ? second : undefined;
  }

  function start(prompt: WaitingPrompt, upstream: string, nowMs: number) {
    waiting.delete(prompt);
    const tokens = prompt.getTokens(upstream);
    reading.set(upstream, (reading.get(upstream) ?? 0) + tokens);
    given.set(prompt.team, {
      tokens: getGiven(prompt.team, nowMs) + tokens,
      atMs: nowMs,
    });
    prompt.start(upstream, tokens);
  }

  /** The team given least first, and of a team the oldest first. */
  function getInOrder(nowMs: number): readonly WaitingPrompt[] {
    const ranked = [...waiting].map((prompt) => ({
      prompt,
      given: getGiven(prompt.team, nowMs),
    }));
    ranked.sort((a, b) =>
      a.given - b.given || a.prompt.arrivedMs - b.prompt.arrivedMs
    );
    return ranked.map((each) => each.prompt);
  }

  function startAll(): void {
    const nowMs = host.nowMs();
    // What a start gives a team changes the order, so it is made anew.
    let hasStarted = true;
    while (hasStarted) {
      hasStarted = false;
      for (const prompt of getInOrder(nowMs)) {
        const upstream = tryPlace(prompt, nowMs);
        if (upstream === undefined) continue;
        start(prompt, upstream, nowMs);
        hasStarted = true;
        break;
      }
    }
  }

  function refuse(prompt: WaitingPrompt, reason: PromptRefusal["reason"]) {
    waiting.delete(prompt);
    prompt.refuse({ reason, retryAfterMs: options.retryAfterMs });
  }

  function refuseLate(): void {
    const nowMs = host.nowMs();
    for (const prompt of [...waiting]) {
      const limitMs = prompt.targetMs * options.refuseShare;
      if (prompt.getRanked().length === 0) refuse(prompt, "no-upstream");
      else if (nowMs - prompt.arrivedMs >= limitMs) refuse(prompt, "late");
    }
  }

  return {
    add(prompt) {
      waiting.add(prompt);
      startAll();
      // Known to be unservable: nothing is gained by keeping it.
      if (waiting.has(prompt) && prompt.getRanked().length === 0) {
        refuse(prompt, "no-upstream");
      }
    },
    remove: (prompt) => waiting.delete(prompt),
    endReading(upstream, tokens) {
      const left = (reading.get(upstream) ?? 0) - tokens;
      if (left > 0) reading.set(upstream, left);
      else reading.delete(upstream);
      startAll();
    },
    tick() {
      startAll();
      refuseLate();
    },
    getCount: () => waiting.size,
    getReadingTokens: (upstream) => reading.get(upstream) ?? 0,
  };
}
