/**
 * The one catalogue of what the program says to people: errors to callers and
 * operators, and log lines. Code refers to an entry by its name; the code in an
 * entry never changes its meaning.
 *
 * @module
 */

/** Who a message is for and how serious it is. */
export type MessageCategory = "caller-error" | "operator-error" | "log";

/** An entry of the catalogue. */
export interface Message {
  readonly code: number;
  readonly category: MessageCategory;
  /** Text with {0}, {1} … for the arguments. */
  readonly text: string;
}

function defineMessage(
  code: number,
  category: MessageCategory,
  text: string,
): Message {
  return { code, category, text };
}

/** Every message, by name. 1xxx: callers; 2xxx: operators; 3xxx: logs. */
export const messages = {
  missingKey: defineMessage(
    1001,
    "caller-error",
    "Send the team's key as a bearer token",
  ),
  unknownKey: defineMessage(1002, "caller-error", "The key belongs to no team"),
  unknownPath: defineMessage(
    1003,
    "caller-error",
    'The path "{0}" does not exist',
  ),
  unknownService: defineMessage(
    1004,
    "caller-error",
    'The service "{0}" does not exist',
  ),
  unknownOperation: defineMessage(
    1005,
    "caller-error",
    'The service "{0}" has no operation "{1}"',
  ),
  bodyTooLarge: defineMessage(
    1006,
    "caller-error",
    "The body is larger than {0} bytes",
  ),
  malformedJson: defineMessage(
    1007,
    "caller-error",
    "The body is not a JSON object: {0}",
  ),
  missingIdempotencyKey: defineMessage(
    1008,
    "caller-error",
    'The operation "{0}" runs at most once and needs an "Idempotency-Key" header',
  ),
  badHeader: defineMessage(
    1009,
    "caller-error",
    'The header "{0}" has the value "{1}", expected {2}',
  ),
  queueFull: defineMessage(
    1010,
    "caller-error",
    'The team has {0} requests waiting for "{1}" at this host, which is its limit',
  ),
  deadlineUnreachable: defineMessage(
    1011,
    "caller-error",
    "The expected wait is longer than the {0} ms that the deadline allows",
  ),
  deadlinePassed: defineMessage(
    1012,
    "caller-error",
    "The deadline passed while the request waited",
  ),
  hostFull: defineMessage(
    1040,
    "caller-error",
    "This host holds {0} waiting requests and has no room for more of the team",
  ),
  deadlineLost: defineMessage(
    1041,
    "caller-error",
    "The request waited and its deadline can't be met any more",
  ),
  draining: defineMessage(
    1013,
    "caller-error",
    'This host is leaving; ask "/where" for another',
  ),
  notReady: defineMessage(1014, "caller-error", "This host is not ready: {0}"),
  upstreamFailed: defineMessage(
    1015,
    "caller-error",
    'The upstream "{0}" failed: {1}',
  ),
  claimedElsewhere: defineMessage(
    1017,
    "caller-error",
    "A request with this idempotency key is under way or its end is unknown",
  ),
  claimsUnavailable: defineMessage(
    1018,
    "caller-error",
    "The record of idempotency keys can't be reached",
  ),
  quarantined: defineMessage(
    1019,
    "caller-error",
    "Requests with this content crashed {0} upstreams and are refused",
  ),
  internalError: defineMessage(1021, "caller-error", "The host failed: {0}"),
  badResumeToken: defineMessage(
    1022,
    "caller-error",
    "The resume token is not valid for this team",
  ),
  resumeGone: defineMessage(
    1023,
    "caller-error",
    "The stream can no longer be resumed: {0}",
  ),
  claimHolderLost: defineMessage(
    1030,
    "caller-error",
    "The host that claimed this idempotency key is gone, so whether the " +
      "request ran is not known; look the result up at the service, or send " +
      "again with a new key if a second run does no harm",
  ),
  claimEndUnknown: defineMessage(
    1031,
    "caller-error",
    "A request with this idempotency key went to its upstream and its end is " +
      "not known; look the result up at the service, or send again with a " +
      "new key if a second run does no harm",
  ),
  idempotencyKeyReused: defineMessage(
    1032,
    "caller-error",
    "This idempotency key was used for a request with other content",
  ),
  onceNeedsPlainService: defineMessage(
    1033,
    "caller-error",
    "The operation \"{0}\" runs at most once, which an engine's stream can't",
  ),
  slowBody: defineMessage(
    1034,
    "caller-error",
    "The body did not arrive within {0} ms",
  ),
  answerIncomplete: defineMessage(
    1035,
    "caller-error",
    'The answer is incomplete after offset {0}: the upstream "{1}" failed: {2}',
  ),
  suspectNotAlone: defineMessage(
    1036,
    "caller-error",
    "A request with this content was running when an upstream failed, and no " +
      "upstream is free to run it alone",
  ),
  badOffset: defineMessage(
    1037,
    "caller-error",
    'The offset "{0}" is no whole number from 0 up',
  ),
  drainLimitPassed: defineMessage(
    1038,
    "caller-error",
    "The host had to stop before the answer was whole",
  ),
  operatorKeyNeeded: defineMessage(
    2001,
    "operator-error",
    "The operators' endpoints need an operator's key",
  ),
  configConflict: defineMessage(
    2002,
    "operator-error",
    "The configuration in force is version {0} by {1}, not the one that you saw",
  ),
  configInvalid: defineMessage(2003, "operator-error", "{0}"),
  platformUnavailable: defineMessage(
    2004,
    "operator-error",
    "The platform can't be reached: {0}",
  ),
  configUnknown: defineMessage(
    2030,
    "operator-error",
    "The platform failed and may have accepted the configuration; apply it again to know: {0}",
  ),
  configValueNotAllowed: defineMessage(
    2010,
    "operator-error",
    "{0} is {1}; allowed: {2}",
  ),
  configKeyMissing: defineMessage(
    2011,
    "operator-error",
    "{0} is missing; allowed: {1}",
  ),
  configKeyUnknown: defineMessage(
    2012,
    "operator-error",
    '{0} is no known key; the nearest known is "{1}"',
  ),
  configKeyUnknownHere: defineMessage(
    2013,
    "operator-error",
    "{0} is no known key; known here: {1}",
  ),
  configDuplicate: defineMessage(
    2014,
    "operator-error",
    "{0} is {1}, which {2} has already; allowed: each value once",
  ),
  configUnknownReference: defineMessage(
    2015,
    "operator-error",
    "{0} is {1}, which is not declared; allowed: {2}",
  ),
  configNotToml: defineMessage(
    2016,
    "operator-error",
    "The text is not TOML: {0}",
  ),
  configFileUnreadable: defineMessage(
    2017,
    "operator-error",
    "The file can't be read: {0}",
  ),
  unknownOption: defineMessage(
    2050,
    "operator-error",
    'The option "--{0}" does not exist; the nearest known is "--{1}"',
  ),
  optionNeedsValue: defineMessage(
    2051,
    "operator-error",
    'The option "--{0}" needs a value',
  ),
  optionNotAllowed: defineMessage(
    2052,
    "operator-error",
    'The option "--{0}" is "{1}"; allowed: {2}',
  ),
  extraArgument: defineMessage(
    2053,
    "operator-error",
    'The argument "{0}" is one too many',
  ),
  routerNeeded: defineMessage(
    2054,
    "operator-error",
    'Name a router with "--router" or in {0}',
  ),
  keyNeeded: defineMessage(
    2055,
    "operator-error",
    'Give the operator\'s key with "--key-file" or in {0}',
  ),
  keyFileUnreadable: defineMessage(
    2056,
    "operator-error",
    'The key file "{0}" can\'t be read: {1}',
  ),
  traceUnreadable: defineMessage(
    2070,
    "operator-error",
    'The trace "{0}" can\'t be read: {1}',
  ),
  linesUnreadable: defineMessage(
    2090,
    "operator-error",
    'The log "{0}" can\'t be read: {1}',
  ),
  requestNotInLines: defineMessage(
    2091,
    "operator-error",
    'None of {1} lines names the request "{0}"; give the lines of all hosts, for callers try more than one',
  ),
  requestNotFound: defineMessage(
    2057,
    "operator-error",
    'No host that answered has events of the request "{0}": it was refused before it was admitted, is older than the events kept, or was served by a host that is gone',
  ),
  requestAmbiguous: defineMessage(
    2058,
    "operator-error",
    'Several requests start with "{0}": {1}',
  ),
  versionNotFound: defineMessage(
    2059,
    "operator-error",
    "The record has no version {0}; allowed: 1 to {1}",
  ),
  recordEmpty: defineMessage(
    2064,
    "operator-error",
    "No configuration was accepted yet",
  ),
  versionUnreadable: defineMessage(
    2060,
    "operator-error",
    "The files of version {0} can't be found on the platform",
  ),
  folderNotEmpty: defineMessage(
    2061,
    "operator-error",
    'The folder "{0}" is not empty; name a new one',
  ),
  badOperatorBody: defineMessage(
    2062,
    "operator-error",
    "The body is not as expected: {0}",
  ),
  listenFailed: defineMessage(
    2063,
    "operator-error",
    "Can't listen: {0}; allowed: addresses of this host that are free",
  ),
  routerStarted: defineMessage(
    3001,
    "log",
    "Router listens for callers on {0} and for peers on {1}",
  ),
  routerStopped: defineMessage(
    3002,
    "log",
    "Router stopped after {0} ms of draining",
  ),
  configInForce: defineMessage(
    3003,
    "log",
    "Configuration version {0} is in force",
  ),
  configRefused: defineMessage(
    3004,
    "log",
    "Configuration version {0} can't be read: {1}",
  ),
  memberChanged: defineMessage(3005, "log", 'Host "{0}" is now {1}'),
  peerLost: defineMessage(3006, "log", 'The link to host "{0}" is lost: {1}'),
  requestEnded: defineMessage(3007, "log", "Request ended as {0}"),
  taskFailed: defineMessage(
    3009,
    "log",
    'A turn of the task "{0}" failed: {1}',
  ),
  platformFailed: defineMessage(
    3008,
    "log",
    "A call to the platform failed: {0}",
  ),
  drainPhase: defineMessage(3030, "log", "The host's drain is now {0}"),
  drainCut: defineMessage(
    3031,
    "log",
    "{0} answers were not whole at the drain limit",
  ),
  stoppedAtOnce: defineMessage(
    3032,
    "log",
    "A second signal ends the host at once, with {0} answers in flight",
  ),
  upstreamLeaving: defineMessage(3033, "log", 'Upstream "{0}" is leaving: {1}'),
  orderGiven: defineMessage(3034, "log", 'Order to upstream "{0}": {1}: {2}'),
} as const satisfies Record<string, Message>;

/** The name of an entry of the catalogue. */
export type MessageName = keyof typeof messages;

/** The text of a message with its arguments put in. */
export function formatMessage(
  name: MessageName,
  args: readonly (string | number)[] = [],
): string {
  return messages[name].text.replace(
    /\{(\d)\}/g,
    (_, position) => String(args[Number(position)] ?? ""),
  );
}
