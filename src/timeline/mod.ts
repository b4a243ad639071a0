/**
 * The timeline: typed events of every decision, which are kept in memory,
 * merged from all processes, and shown as lines, sentences or a picture.
 *
 * @module
 */

export * from "./describe.ts";
export * from "./filter.ts";
export * from "./lanes_svg.ts";
export * from "./merge.ts";
export * from "./recorder.ts";
export * from "./story.ts";
export * from "./types.ts";
