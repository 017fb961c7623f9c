import {LivingPeer} from '../membership/peer_table.js';
import {OwnershipRecord} from './ownership_record.js';

/** Input of {@link assignShards}. */
export interface AssignmentInput {
  current: OwnershipRecord;
  /** Shards that the VM list gives. */
  shards: readonly string[];
  /** Living members, in the order of their names. */
  living: readonly LivingPeer[];
  /** Time in ms a member is up before it gets shards. @default 3000 */
  joinAfterMs?: number;
}

/**
 * Computes the next ownership record.
 *
 * Owners that live keep their shards. Shards without a living owner go to the
 * member with the fewest; then shards move from the members with the most
 * until the numbers differ by at most one.
 *
 * @returns The next record, or undefined if nothing has to change.
 */
export function assignShards(
  input: AssignmentInput,
): OwnershipRecord | undefined {
  const candidates = selectCandidates(input);
  if (candidates.length === 0) return undefined;
  const held = new Map<string, string[]>();
  for (const {member} of candidates) held.set(member, []);
  const orphans = distributeKept(input, candidates, held);
  const moved = [...orphans];
  for (const shard of orphans) held.get(fewest(held))!.push(shard);
  moved.push(...balance(held));
  if (moved.length === 0 && !hasRemovedShards(input)) return undefined;
  return buildRecord(input.current, {candidates, held, moved: new Set(moved)});
}

function selectCandidates(input: AssignmentInput): LivingPeer[] {
  const {joinAfterMs = 3000} = input;
  const staying = input.living.filter((peer) => !peer.isLeaving);
  const joined = staying.filter((peer) => peer.upMs >= joinAfterMs);
  // A data centre whose members all restarted has nobody to wait for.
  return joined.length > 0 ? joined : staying;
}

function distributeKept(
  input: AssignmentInput,
  candidates: readonly LivingPeer[],
  held: Map<string, string[]>,
): string[] {
  const incarnations = new Map(
    candidates.map((peer) => [peer.member, peer.incarnation]),
  );
  const orphans: string[] = [];
  for (const shard of [...input.shards].sort()) {
    const owner = input.current.shards[shard];
    const isKept =
      owner !== undefined &&
      incarnations.get(owner.member) === owner.incarnation;
    if (isKept) held.get(owner.member)!.push(shard);
    else orphans.push(shard);
  }
  return orphans;
}

function byCount(
  held: ReadonlyMap<string, readonly string[]>,
): Array<[string, readonly string[]]> {
  return [...held].sort(
    ([nameA, a], [nameB, b]) => a.length - b.length || (nameA < nameB ? -1 : 1),
  );
}

function fewest(held: ReadonlyMap<string, readonly string[]>): string {
  return byCount(held)[0]![0];
}

function balance(held: Map<string, string[]>): string[] {
  const moved: string[] = [];
  for (;;) {
    const order = byCount(held);
    const [poorest, few] = order[0]!;
    const [richest, many] = order.at(-1)!;
    if (many.length - few.length <= 1) return moved;
    const shard = held.get(richest)!.pop()!;
    held.get(poorest)!.push(shard);
    moved.push(shard);
  }
}

function hasRemovedShards(input: AssignmentInput): boolean {
  const known = new Set(input.shards);
  return Object.keys(input.current.shards).some((shard) => !known.has(shard));
}

function buildRecord(
  current: OwnershipRecord,
  result: {
    candidates: readonly LivingPeer[];
    held: ReadonlyMap<string, readonly string[]>;
    moved: ReadonlySet<string>;
  },
): OwnershipRecord {
  const epoch = current.epoch + 1;
  const shards: OwnershipRecord['shards'] = {};
  for (const {member, incarnation} of result.candidates) {
    for (const shard of result.held.get(member)!) {
      const known = current.shards[shard];
      const isMoved = known === undefined || result.moved.has(shard);
      shards[shard] = isMoved ? {member, incarnation, epoch} : known;
    }
  }
  return {epoch, shards};
}
