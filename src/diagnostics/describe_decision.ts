/**
 * Describes logged decisions in sentences for operators.
 *
 * @module
 */

import type { Decision } from "./decisions.ts";
import { describeHostDecision } from "./describe_host_decision.ts";
import type {
  Inputs,
  LoggedBody,
  LoggedSilence,
  QueueInputs,
  StreamVersionInputs,
} from "./request_decisions.ts";

/** Describes a decision in one sentence, without its time and host. */
export function describeDecision(decision: Decision): string {
  switch (decision.event) {
    case "attempt-started":
      return `Sent to ${decision.upstream}${
        formatVersion(decision)
      } (attempt ` +
        `${decision.attempt}) after ${decision.waitedMs} ms${
          formatResumes(decision)
        }; ${decision.inFlight} other requests of this ` +
        `host were in flight there${formatPrefill(decision.readingTokens)}${
          formatFetch(decision)
        }${formatPrefix(decision.prefix)}; ${formatInputs(decision.inputs)}`;
    case "attempt-failed":
      return `Attempt at ${decision.upstream} failed: ${decision.kind}, ` +
        `"${decision.reason}"${formatSyscall(decision.syscall)}${
          formatSilence(decision.silence)
        }; next: ${decision.next}${formatReason(decision.because)}${
          formatBody(decision.body)
        }`;
    case "attempt-silent":
      return `Attempt at ${decision.upstream} goes on${
        formatSilence(decision.silence)
      }; next: ${decision.next}${formatReason(decision.because)}`;
    case "request-open-at-exit":
      return describeOpenAtExit(decision);
    case "drained-body-closed":
      return `Closed the connection to ${decision.upstream} after ` +
        `${decision.readBytes} bytes of a body that nobody needs: ` +
        `"${decision.reason}"`;
    case "answer-dropped":
      return `Closed the caller's connection with ${decision.unsentBytes} ` +
        `bytes unsent: the host had no room, and this response held the most`;
    case "request-ended":
      return `Ended as ${decision.outcome} with status ${decision.status} ` +
        `after ${decision.totalMs} ms and ${decision.attempts} attempts: ` +
        `"${decision.reason}"${formatCut(decision)}${
          formatRetry(decision.retryAfterMs)
        }${formatQueue(decision.queue)}${formatEventVersions(decision)}${
          formatResumes(decision)
        }${formatBody(decision.body)}; ${formatInputs(decision.inputs)}`;
    case "reading-limit-changed":
      return `${
        decision.upstream ?? `An upstream of ${decision.service}`
      } may have ` +
        `${decision.limitTokens} tokens to prefill; ${decision.inTimeTokens} ` +
        `are prefilled in time; a share of ${decision.lateShare} of the ` +
        `responses paused too long`;
    case "upstream-weight-changed":
      return `${decision.upstream} has the weight ${decision.weight} in the ` +
        `ranking of prompts: its speed is ${decision.speed} of the mean, by ` +
        `${decision.samples} first events`;
    case "config-in-force":
      return `Configuration ${decision.version} in force, from ${decision.from}`;
    case "evacuation-began":
    case "evacuation-ended":
      return `${decision.event} in ${decision.dataCentre}${
        decision.isDeclared ? "" : ", which is not declared"
      } (platform's version ${decision.platformVersion})`;
    case "upstream-cold":
      return `Upstream ${decision.upstream} of ${decision.service} is cold for ` +
        `${decision.leftMs} ms, known from: ${decision.because}`;
    case "config-doubtful":
      return `Configuration ${decision.version}: ${decision.problem}`;
    case "region-undeclared":
      return `Configuration ${decision.version} allows the region ` +
        `"${decision.region}", to which no data centre belongs`;
    case "platform-era-changed":
      return `The platform was restored from a backup: ${decision.table} at ` +
        `version ${decision.platformVersion} of era ${decision.era}, after ` +
        `${decision.lastVersion} of era ${decision.lastEra}; from ` +
        `${decision.from}`;
    case "platform-era-unnamed":
    case "platform-era-named":
      return `${decision.event}: "${decision.text ?? ""}"`;
    case "upstream-changed":
      return `Upstream ${decision.upstream} of ${decision.service}: ` +
        `${decision.change}, from ${decision.from}, software version ` +
        `${decision.softwareVersion ?? "not named"} (platform's version ` +
        `${decision.platformVersion})`;
    case "upstream-said":
      return describeUpstreamSignal(decision);
    case "upstream-unhealthy":
    case "upstream-healthy":
      return describeHealthChange(decision);
    case "table-reader-changed":
      return `${decision.reads ? "Reads" : "Does not read"} ` +
        `${decision.table} from the platform, ${decision.because}: ` +
        `${decision.passedOver} hosts skipped, last successful read ` +
        `${decision.unconfirmedMs} ms before`;
    case "table-not-fetched":
      return `${decision.peer} did not send its newer ${decision.table} ` +
        `within ${decision.tookMs} ms, ${decision.lackedMs} ms after this ` +
        `host had heard of it`;
    case "table-fetched":
      return `${decision.peer} sent its ${decision.table}, ` +
        `${decision.isNewer ? "newer" : "no newer"} than this host's, ` +
        `${decision.bytes} bytes in ${decision.tookMs} ms`;
    case "copy-doubtful":
      return `${decision.unusableRows} rows of the copy of ${decision.table} ` +
        `by ${decision.peer} were left out`;
    case "platform-outage-ended":
      return `${decision.table} was read again after ` +
        `${decision.lastedMs} ms in which ${decision.failedHosts} hosts failed`;
    case "platform-lost":
    case "platform-regained":
      return `${decision.event} for ${decision.table}: "${decision.reason}"`;
    case "row-unreadable":
      return `Row "${decision.key}" of ${decision.table} can't be read: ` +
        `"${decision.reason}"`;
    case "content-suspected":
    case "part-suspected":
      return `${decision.subject} is suspect after ` +
        `${decision.crashes} crashes, the last of ${decision.process}, ` +
        `known from: ${decision.from}`;
    case "content-cleared":
    case "part-cleared":
      return `${decision.subject} ran well elsewhere; ` +
        `${decision.crashes} crashes count, known from: ${decision.from}`;
    case "content-blocked":
    case "part-blocked":
      return `${decision.subject} is refused after ` +
        `${decision.crashes} crashes at ${decision.moments} moments`;
    case "stream-version-found":
      return `The stream${formatOf(decision.resumes)} goes on at version ` +
        `${decision.version} (${decision.confirmedBy ?? decision.from})${
          formatAsked(decision)
        }; ` +
        formatInputs(decision.inputs);
    case "stream-version-unknown":
      return `The stream${formatOf(decision.resumes)} is not taken up, since ` +
        `nobody knows its version, of ${decision.versions}${
          formatAsked(decision)
        }; ${formatInputs(decision.inputs)}`;
    case "upstream-reported": {
      const { kind, incarnation: reported, reason } = decision.report;
      return `Upstream ${decision.upstream}, incarnation ` +
        `${decision.incarnation} by its entry, says: ` +
        `${reported ?? reason ?? kind} (${decision.tookMs} ms)`;
    }
    default:
      return describeHostDecision(decision);
  }
}

function formatOf(request: string | undefined): string {
  return request === undefined ? "" : ` of ${request}`;
}

function formatAsked(
  { asked, answered, answers = [], tookMs }: StreamVersionInputs,
): string {
  if (asked === 0) return "";
  const said = answers.map((each) => ` ${each.from} "${each.said}"`).join();
  return `; ${answered} of ${asked} hosts answered within ${tookMs} ms` +
    (said === "" ? "" : `:${said}`);
}

function formatReason(because: string | undefined): string {
  return because === undefined ? "" : `, since "${because}"`;
}

function describeUpstreamSignal(
  signal: Extract<Decision, { readonly event: "upstream-said" }>,
): string {
  const from = `Upstream ${signal.upstream} with status ${signal.status}`;
  switch (signal.said) {
    case "leaving":
      return `${from}: it is leaving`;
    case "replaced":
      return `${from}: upstream ${signal.text} has its address now`;
    case "rest":
      return `${from}: it asked this host to back off for ${signal.restMs} ms`;
    case "unreadable-rest":
      return `${from}: a back-off that can't be read, "${signal.text}"`;
  }
}

function describeHealthChange(
  change: Extract<
    Decision,
    { readonly event: "upstream-unhealthy" | "upstream-healthy" }
  >,
): string {
  const { upstream, because, inFlight, silentMs, failureShare } = change;
  const lasted = change.lastedMs === undefined
    ? ""
    : ` after ${change.lastedMs} ms`;
  return `${change.event}: ${upstream}, ${because}${lasted}; ${inFlight} ` +
    `requests in flight, silent for ${silentMs} ms, a share of ` +
    `${failureShare} failed`;
}

function formatSyscall(syscall: string | undefined): string {
  return syscall === undefined ? "" : ` (${syscall})`;
}

function formatSilence(silence: LoggedSilence | undefined): string {
  if (silence === undefined) return "";
  const { phase, silentMs, limitMs, isAborted } = silence;
  return `, silent for ${silentMs} ms of ${limitMs} ms (${phase}), ${
    isAborted ? "aborted before" : "still open when"
  } the next step was chosen`;
}

function formatCut(
  { isCut, silentPhase, silentMs }: Extract<
    Decision,
    { readonly event: "request-ended" }
  >,
): string {
  const cut = isCut ? "; the response had begun and was closed" : "";
  const silent = silentMs === undefined ? "" : `; silent for ${silentMs} ms`;
  const phase = silentPhase === undefined
    ? ""
    : `; its latest time-out passed in the phase "${silentPhase}"`;
  return `${cut}${silent}${phase}`;
}

function describeOpenAtExit(
  decision: Extract<Decision, { readonly event: "request-open-at-exit" }>,
): string {
  const { upstream = "no upstream", deadlineMs = "unknown" } = decision;
  const state = decision.hasBegun
    ? "the response had begun"
    : decision.mayHaveRun
    ? "it may have run"
    : "it has not run";
  return `Open at the exit, at ${upstream}: arrived ` +
    `${decision.arrivedAfterStopMs} ms after the signal with ` +
    `${decision.leftMs} ms left, ${decision.ageMs} ms ago; its target ` +
    `${decision.targetMs ?? "unknown"} ms, its deadline ${deadlineMs} ms; ` +
    `latest attempt ${decision.attemptAfterMs ?? "never"} ms after its ` +
    `arrival; ${state}`;
}

/** The version, and the stream's if it is another one. */
function formatVersion(
  { softwareVersion, streamVersion }: Extract<
    Decision,
    { readonly event: "attempt-started" }
  >,
): string {
  const own = softwareVersion === undefined
    ? ""
    : ` of version ${softwareVersion}`;
  const isSame = streamVersion === undefined ||
    streamVersion === softwareVersion;
  return isSame ? own : `${own}, though the stream began at ${streamVersion},`;
}

function formatEventVersions(
  { eventVersions }: Extract<Decision, { readonly event: "request-ended" }>,
): string {
  if (eventVersions === undefined) return "";
  const names = eventVersions.map((each) => each ?? "not named");
  return `; events of software versions: ${names.join(", ")}`;
}

function formatResumes(
  { resumes }: { readonly resumes: string | undefined },
): string {
  return resumes === undefined ? "" : `; it takes up the stream of ${resumes}`;
}

function formatPrefill(readingTokens: number | undefined): string {
  if (readingTokens === undefined) return "";
  return `, with ${readingTokens} tokens to prefill`;
}

function formatFetch(
  { fetchFrom, fetchTokens }: Extract<
    Decision,
    { readonly event: "attempt-started" }
  >,
): string {
  if (fetchFrom === undefined) return "";
  return `, of which ${fetchTokens} for a shared prefix from ${fetchFrom}`;
}

const prefixTexts = {
  held: ", with the shared prefix cached",
  // Named by `formatFetch`.
  fetched: "",
  read: ", with the shared prefix to prefill",
};

function formatPrefix(prefix: keyof typeof prefixTexts | undefined): string {
  return prefix === undefined ? "" : prefixTexts[prefix];
}

function formatRetry(retryAfterMs: number | undefined): string {
  if (retryAfterMs === undefined) return "";
  return `; the caller may retry in ${Math.round(retryAfterMs)} ms`;
}

/** Descriptions of the values of `QueueInputs.yields`. */
const yieldTexts = [
  "of full priority",
  "inefficient",
  "of a team over its share",
] as const;

function formatQueue(queue: QueueInputs | undefined): string {
  if (queue === undefined) return "";
  return `; with ${queue.waiting} prompts queued it was ` +
    `${yieldTexts[queue.yields]} (${formatService(queue)}` +
    `${queue.shareUsed} of the share used); ${formatCapacity(queue)}`;
}

function formatService({ service }: QueueInputs): string {
  if (service === undefined) return "";
  return `${service.begun} of ${service.asked} tokens per second begun, ` +
    `${service.mostBegun} of the best served team; `;
}

function formatCapacity(queue: QueueInputs): string {
  const { backlog, load, upstream, limitTokens } = queue;
  if (backlog !== undefined) {
    return `${backlog.waiting} requests of its team and route were ahead, of ` +
      `which ${backlog.startedPerSecond} start per second`;
  }
  if (load === undefined) return "no upstream to wait for";
  const usage = `${upstream} had ${load.inFlight} of ${load.slots} slots in ` +
    `use and ${load.readingTokens} of ${limitTokens} tokens to prefill`;
  if (load.underservedElsewhere === 0) return usage;
  return `${usage}, and ${load.underservedElsewhere} prompts of underserved ` +
    `teams waited for it at other hosts`;
}

function formatBody(body: LoggedBody | undefined): string {
  if (body === undefined) return "";
  const { announcedBytes, code, isEndReceived } = body;
  const announced = announcedBytes === undefined ? "" : ` of ${announcedBytes}`;
  return `; the response body (${body.framing}): ${body.receivedBytes}` +
    `${announced} bytes received ${
      isEndReceived ? "to" : "without"
    } its end, ` +
    `${body.unreadBytes} of them not read, ${body.relayedBytes} relayed, ` +
    `paused for ${body.pausedMs} ms, connection ${body.connection}${
      code === undefined ? "" : ` (${code})`
    }`;
}

function formatInputs(inputs: Inputs): string {
  return `configuration ${inputs.configVersion} and upstreams ` +
    `${inputs.upstreamsVersion}, last read ${inputs.confirmedMsAgo} ms before`;
}
