import {z} from 'zod';

/**
 * Creates the schema of a list. A list fails with its first invalid element
 * alone: an error for each element of a long list takes many times its memory.
 *
 * @param options.least - Minimum number of elements. @default 0
 * @param options.most - Maximum number of elements. @default not limited
 */
export function listSchema<Element extends z.ZodType>(
  element: Element,
  {least = 0, most = Infinity}: {least?: number; most?: number} = {},
): z.ZodType<Array<z.output<Element>>> {
  return z.unknown().transform((value, context) => {
    const fail = (message: string, path: PropertyKey[] = []): never => {
      context.addIssue({code: 'custom', message, path});
      return z.NEVER;
    };
    if (!Array.isArray(value)) return fail('expected a list');
    if (value.length < least) return fail(`expected ${least} elements or more`);
    if (value.length > most) return fail(`expected at most ${most} elements`);
    const elements: Array<z.output<Element>> = [];
    for (const [index, part] of (value as unknown[]).entries()) {
      const parsed = element.safeParse(part);
      if (!parsed.success) {
        const {message, path} = parsed.error.issues[0]!;
        return fail(message, [index, ...path]);
      }
      elements.push(parsed.data);
    }
    return elements;
  });
}
