const GAP = '  ';

/**
 * Formats rows as a table with left-aligned columns.
 *
 * @example
 * formatTable(['NAME', 'SHARE'], [['acme', 2]]); // "NAME  SHARE\nacme  2\n"
 */
export function formatTable(
  head: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>,
): string {
  const lines = [head, ...rows].map((row) =>
    head.map((_, column) => String(row[column] ?? '-')),
  );
  const widths = head.map((_, column) =>
    Math.max(...lines.map((line) => line[column]!.length)),
  );
  return lines
    .map((line) =>
      line.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP),
    )
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}
