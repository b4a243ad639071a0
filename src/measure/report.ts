/**
 * Report of a measurement: a table for people, then one line of JSON.
 *
 * @module
 */

/**
 * A measured figure, with the figures that the baselines reach in the same run.
 */
export interface Figure {
  /** Name with its unit, for example "fairness_gap_tokens". */
  readonly name: string;
  readonly value: number;
  /** Figure of each baseline, by the name of the baseline. */
  readonly baselines: Readonly<Record<string, number>>;
  /** Bound of the value; absent for a figure that is only reported. */
  readonly bound?: {
    readonly kind: "at-most" | "at-least";
    readonly value: number;
  };
}

/** The result of one scenario. */
export interface Report {
  readonly scenario: string;
  readonly seed: number;
  readonly hosts: number;
  readonly figures: readonly Figure[];
}

/** Returns whether every figure is within its bound. */
export function meetsBounds(report: Report): boolean {
  return report.figures.every((figure) => {
    if (figure.bound === undefined) return true;
    const { kind, value } = figure.bound;
    return kind === "at-most" ? figure.value <= value : figure.value >= value;
  });
}

/** Maps the values of a record and keeps its keys. */
export function mapValues<A, B>(
  record: Readonly<Record<string, A>>,
  map: (value: A) => B,
): Readonly<Record<string, B>> {
  return Object.fromEntries(
    Object.entries(record).map(([name, value]) => [name, map(value)]),
  );
}

/** Prints the report; the last line is one JSON object. */
export function printReport(report: Report): void {
  console.table(report.figures.map((figure) => ({
    figure: figure.name,
    value: round(figure.value),
    ...Object.fromEntries(
      Object.entries(figure.baselines).map((
        [name, value],
      ) => [name, round(value)]),
    ),
    bound: figure.bound === undefined
      ? ""
      : `${figure.bound.kind} ${round(figure.bound.value)}`,
  })));
  const figures = Object.fromEntries(
    report.figures.map(({ name, ...figure }) => [name, figure]),
  );
  const { scenario, seed, hosts } = report;
  console.log(
    JSON.stringify({
      scenario,
      seed,
      hosts,
      figures,
      holds: meetsBounds(report),
    }),
  );
}

function round(value: number): number {
  return Number(value.toPrecision(5));
}
