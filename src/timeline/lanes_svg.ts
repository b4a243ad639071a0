/**
 * Draws a timeline as SVG: a lane for each process, a column for each event in
 * causal order, an arrow to the process that the event affects, and below the
 * lanes a numbered list of the events.
 *
 * All columns have the same width. Most events of a request are a few
 * milliseconds apart, so that on a true time scale they would overlap. The time
 * of each event is printed below its column.
 *
 * @module
 */

import { getWallMs } from "../core/mod.ts";
import { describeEvent, formatDuration, formatTime } from "./describe.ts";
import type { EventKind, TimelineEvent } from "./types.ts";

/** More columns are not legible; later events are left out and counted. */
export const MAX_DRAWN_EVENTS = 60;

const LANE_HEIGHT = 44;
const COLUMN_WIDTH = 62;
const MIN_LEFT = 150;
const TOP = 70;
const LINE_HEIGHT = 18;
const MARKER_RADIUS = 10;
const CHARACTER_WIDTH = 7;
const MIN_WIDTH = 1000;

const colors = {
  start: "#1f6feb",
  run: "#8250df",
  good: "#1a7f37",
  bad: "#cf222e",
  change: "#9a6700",
  other: "#57606a",
} as const;

interface Layout {
  readonly lanes: readonly string[];
  /** X coordinate at which the lanes begin, right of their names. */
  readonly left: number;
}

/** Makes the text of an SVG file that shows the events. */
export function createLanesSvg(
  events: readonly TimelineEvent[],
  title: string,
): string {
  const shown = events.slice(0, MAX_DRAWN_EVENTS);
  const lanes = getLanes(shown);
  const legend = getLegend(shown, events.length);
  const legendTop = TOP + lanes.length * LANE_HEIGHT + 60;
  const longest = Math.max(0, ...legend.map((line) => line.length));
  const left = Math.max(
    MIN_LEFT,
    40 + CHARACTER_WIDTH * Math.max(0, ...lanes.map((lane) => lane.length)),
  );
  const layout = { lanes, left };
  const width = Math.max(
    MIN_WIDTH,
    left + shown.length * COLUMN_WIDTH + 40,
    longest * CHARACTER_WIDTH + 80,
  );
  const height = legendTop + legend.length * LINE_HEIGHT + 20;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
    `height="${height}" viewBox="0 0 ${width} ${height}" ` +
    'font-family="sans-serif" font-size="13">',
    `<rect width="${width}" height="${height}" fill="#ffffff"/>`,
    text(20, 30, title, 'font-size="17" font-weight="bold"'),
    ...drawLanes(layout, width),
    ...drawArrows(shown, layout),
    ...drawMarkers(shown, layout),
    ...drawTimes(shown, layout),
    ...legend.map((line, index) =>
      text(20, legendTop + index * LINE_HEIGHT, line)
    ),
    "</svg>",
    "",
  ].join("\n");
}

/** Names the lanes: hosts first, then other targets of events, each sorted. */
function getLanes(events: readonly TimelineEvent[]): readonly string[] {
  const hosts = new Set(events.map((event) => event.host));
  const others = new Set(events.flatMap((event) => tryGetTarget(event) ?? []));
  for (const host of hosts) others.delete(host);
  return [...[...hosts].sort(), ...[...others].sort()];
}

/** The process that the event affects; can be its own host. */
function tryGetTarget(event: TimelineEvent): string | undefined {
  switch (event.kind) {
    case "slot-granted":
      return event.to;
    case "request-dispatched":
    case "stream-resumed":
    case "limit-changed":
    case "order-given":
      return event.upstream;
    case "member-changed":
      return event.member;
    case "owner-changed":
      return event.owner;
    default:
      return undefined;
  }
}

function drawLanes(layout: Layout, width: number): readonly string[] {
  const { lanes, left } = layout;
  return lanes.flatMap((lane, index) => {
    const y = getLaneY(index);
    const band = index % 2 === 0
      ? [
        `<rect x="0" y="${y - LANE_HEIGHT / 2}" width="${width}" ` +
        `height="${LANE_HEIGHT}" fill="#f6f8fa"/>`,
      ]
      : [];
    return [
      ...band,
      `<line x1="${left}" y1="${y}" x2="${width - 20}" y2="${y}" ` +
      'stroke="#d0d7de"/>',
      text(20, y + 4, lane),
    ];
  });
}

function drawArrows(
  events: readonly TimelineEvent[],
  layout: Layout,
): readonly string[] {
  const { lanes } = layout;
  return events.flatMap((event, index) => {
    const target = tryGetTarget(event);
    if (target === undefined || target === event.host) return [];
    const x = getColumnX(layout, index);
    const fromY = getLaneY(lanes.indexOf(event.host));
    const toY = getLaneY(lanes.indexOf(target));
    const back = toY > fromY ? -6 : 6;
    const color = getColor(event);
    return [
      `<line x1="${x}" y1="${fromY}" x2="${x}" y2="${toY}" ` +
      `stroke="${color}" stroke-width="1.5"/>`,
      `<path d="M ${x} ${toY} l -4 ${back} l 8 0 z" fill="${color}"/>`,
    ];
  });
}

function drawMarkers(
  events: readonly TimelineEvent[],
  layout: Layout,
): readonly string[] {
  const { lanes } = layout;
  return events.flatMap((event, index) => {
    const [x, y] = [
      getColumnX(layout, index),
      getLaneY(lanes.indexOf(event.host)),
    ];
    return [
      `<circle cx="${x}" cy="${y}" r="${MARKER_RADIUS}" ` +
      `fill="${getColor(event)}"/>`,
      text(
        x,
        y + 4,
        String(index + 1),
        'fill="#ffffff" font-size="11" text-anchor="middle"',
      ),
    ];
  });
}

function drawTimes(
  events: readonly TimelineEvent[],
  layout: Layout,
): readonly string[] {
  const { lanes } = layout;
  const y = getLaneY(lanes.length) - LANE_HEIGHT / 2 + 16;
  const firstMs = getWallMs(events[0]?.at ?? 0);
  return events.map((event, index) =>
    text(
      getColumnX(layout, index),
      y,
      `+${formatDuration(getWallMs(event.at) - firstMs)}`,
      'font-size="10" fill="#57606a" text-anchor="middle"',
    )
  );
}

function getLegend(
  shown: readonly TimelineEvent[],
  total: number,
): readonly string[] {
  const lines = shown.map((event, index) =>
    `${index + 1}. ${formatTime(event.at)}  ${event.host}: ` +
    describeEvent(event)
  );
  if (total === shown.length) return lines;
  const omittedCount = total - shown.length;
  return [
    ...lines,
    `${omittedCount} later events are left out; narrow the filters`,
  ];
}

function getColor(event: TimelineEvent): string {
  if (event.kind === "request-ended") {
    return event.outcome === "answered" ? colors.good : colors.bad;
  }
  return kindColors[event.kind] ?? colors.other;
}

const kindColors: Partial<Record<EventKind, string>> = {
  "request-admitted": colors.start,
  "slot-granted": colors.start,
  "request-dispatched": colors.run,
  "stream-resumed": colors.run,
  "request-refused": colors.bad,
  "request-retried": colors.bad,
  "content-quarantined": colors.bad,
  "request-shifted": colors.change,
  "limit-changed": colors.change,
  "member-changed": colors.change,
  "owner-changed": colors.change,
  "host-draining": colors.change,
};

function getLaneY(index: number): number {
  return TOP + index * LANE_HEIGHT;
}

function getColumnX(layout: Layout, index: number): number {
  return layout.left + COLUMN_WIDTH / 2 + index * COLUMN_WIDTH;
}

function text(
  x: number,
  y: number,
  content: string,
  attributes = "",
): string {
  const gap = attributes === "" ? "" : " ";
  return `<text x="${x}" y="${y}"${gap}${attributes}>${escape(content)}</text>`;
}

function escape(content: string): string {
  return content.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
}
