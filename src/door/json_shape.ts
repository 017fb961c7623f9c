/** Limits on a JSON text, checked before it is parsed. */
export interface JsonShapeLimits {
  /** Values, names and separators are counted by commas, colons and brackets. */
  mostValues: number;
  /** Nested arrays and objects. @default 32 */
  mostDepth?: number;
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_ARRAY = 0x5b;
const CLOSE_ARRAY = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

const MOST_DEPTH = 32;

/**
 * Returns whether a JSON text stays within limits on its number of values and
 * its depth. Short fields take many times their size once they are parsed. A
 * text that is not valid JSON may pass; the parser rejects it.
 */
export function isWithinJsonShape(
  text: Buffer,
  {mostValues, mostDepth = MOST_DEPTH}: JsonShapeLimits,
): boolean {
  let values = 1;
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const byte = text[index];
    if (isInString) {
      if (byte === BACKSLASH) index += 1;
      else if (byte === QUOTE) isInString = false;
      continue;
    }
    if (byte === QUOTE) isInString = true;
    else if (byte === COMMA) values += 1;
    else if (byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      values += 1;
      depth += 1;
    } else if (byte === CLOSE_ARRAY || byte === CLOSE_OBJECT) depth -= 1;
    if (values > mostValues || depth > mostDepth) return false;
  }
  return true;
}
