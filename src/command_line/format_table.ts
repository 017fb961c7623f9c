const COLUMN_GAP = '  ';

/**
 * Formats rows as a table with left-aligned columns.
 *
 * @example
 * formatTable(['NAME', 'SHARE'], [['acme', 2]]); // "NAME  SHARE\nacme  2\n"
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>,
): string {
  const lines = [header, ...rows].map((row) =>
    header.map((_, column) => String(row[column] ?? '-')),
  );
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => line[column]!.length)),
  );
  return lines
    .map((line) =>
      line.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_GAP),
    )
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}
