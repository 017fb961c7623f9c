import {readFileSync} from 'node:fs';

/** Node of the call tree of a CPU profile, as the V8 inspector writes it. */
interface ProfileNode {
  id: number;
  callFrame: {functionName: string; url: string};
  children?: number[];
}

/** CPU profile as the V8 inspector writes it; times are in µs. */
export interface CpuProfile {
  nodes: ProfileNode[];
  startTime: number;
  samples: number[];
  timeDeltas: number[];
}

/** Part of a program, recognized by the call frames that belong to it. */
export interface ProfilePart {
  name: string;
  /** Matches "function url" of a call frame. */
  frame: RegExp;
}

/** Time window in µs on the monotonic clock of the machine. */
export interface ProfileWindow {
  fromMicroseconds: number;
  toMicroseconds: number;
}

const IDLE_FUNCTION = '(idle)';
const REST = 'other';

/** Reads a file that `node --cpu-prof` wrote. */
export function readProfile(file: string): CpuProfile {
  return JSON.parse(readFileSync(file, 'utf8')) as CpuProfile;
}

/**
 * Returns the busy time in µs of each part in a window. A sample belongs to the
 * part of the innermost call frame that any part matches.
 */
export function costByPart(
  profile: CpuProfile,
  parts: readonly ProfilePart[],
  window: ProfileWindow,
): Record<string, number> {
  const partOfNode = assignParts(profile, parts);
  const costs: Record<string, number> = {};
  let atMicroseconds = profile.startTime;
  profile.samples.forEach((node, position) => {
    // The delta of a sample is the time since the sample before it.
    const elapsed = profile.timeDeltas[position + 1] ?? 0;
    atMicroseconds += profile.timeDeltas[position] ?? 0;
    const part = partOfNode.get(node);
    if (part === undefined) return;
    if (atMicroseconds < window.fromMicroseconds) return;
    if (atMicroseconds >= window.toMicroseconds) return;
    costs[part] = (costs[part] ?? 0) + elapsed;
  });
  return costs;
}

/** Returns the part of each node by id; idle nodes have none. */
function assignParts(
  {nodes}: CpuProfile,
  parts: readonly ProfilePart[],
): ReadonlyMap<number, string> {
  const nodesById = new Map(nodes.map((node) => [node.id, node]));
  const partOfNode = new Map<number, string>();
  const visit = (node: ProfileNode, inherited: string): void => {
    const {functionName, url} = node.callFrame;
    const frame = `${functionName} ${url}`;
    const own = parts.find((part) => part.frame.test(frame))?.name;
    const part = own ?? inherited;
    if (functionName !== IDLE_FUNCTION) partOfNode.set(node.id, part);
    for (const child of node.children ?? []) {
      visit(nodesById.get(child)!, part);
    }
  };
  const root = nodes.find(({callFrame}) => callFrame.functionName === '(root)');
  if (root) visit(root, REST);
  return partOfNode;
}
