import {LivePeer} from '../membership/peer_table.js';
import {OwnershipRecord} from './ownership_record.js';

/** Input of {@link assignShards}. */
export interface AssignmentInput {
  current: OwnershipRecord;
  /** Shards to assign, as derived from the VM list. */
  shards: readonly string[];
  /** Live members, sorted by name. */
  liveMembers: readonly LivePeer[];
  /** Minimum uptime in ms before a member is assigned shards. @default 3000 */
  joinAfterMs?: number;
}

/**
 * Computes the next ownership record.
 *
 * Live owners keep their shards. Shards without such an owner go to the member
 * with the fewest shards. Then shards are moved from the most to the least
 * loaded member until their counts differ by at most one.
 *
 * @returns The next record, or undefined if no change is needed or no member
 *     can be assigned shards.
 */
export function assignShards(
  input: AssignmentInput,
): OwnershipRecord | undefined {
  const candidates = selectCandidates(input);
  if (candidates.length === 0) return undefined;
  const assigned = new Map<string, string[]>();
  for (const {member} of candidates) assigned.set(member, []);
  const orphans = assignKeptShards(input, candidates, assigned);
  const moved = [...orphans];
  for (const shard of orphans) assigned.get(leastLoaded(assigned))!.push(shard);
  moved.push(...rebalance(assigned));
  if (moved.length === 0 && !hasRemovedShards(input)) return undefined;
  return buildRecord(input.current, {
    candidates,
    assigned,
    moved: new Set(moved),
  });
}

function selectCandidates(input: AssignmentInput): LivePeer[] {
  const {joinAfterMs = 3000} = input;
  const staying = input.liveMembers.filter((peer) => !peer.isLeaving);
  const joined = staying.filter((peer) => peer.upMs >= joinAfterMs);
  // If all members have just started, waiting would leave all shards unowned.
  return joined.length > 0 ? joined : staying;
}

function assignKeptShards(
  input: AssignmentInput,
  candidates: readonly LivePeer[],
  assigned: Map<string, string[]>,
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
    if (isKept) assigned.get(owner.member)!.push(shard);
    else orphans.push(shard);
  }
  return orphans;
}

function sortByShardCount(
  assigned: ReadonlyMap<string, readonly string[]>,
): Array<[string, readonly string[]]> {
  return [...assigned].sort(
    ([nameA, a], [nameB, b]) => a.length - b.length || (nameA < nameB ? -1 : 1),
  );
}

function leastLoaded(assigned: ReadonlyMap<string, readonly string[]>): string {
  return sortByShardCount(assigned)[0]![0];
}

function rebalance(assigned: Map<string, string[]>): string[] {
  const moved: string[] = [];
  for (;;) {
    const order = sortByShardCount(assigned);
    const [minMember, minShards] = order[0]!;
    const [maxMember, maxShards] = order.at(-1)!;
    if (maxShards.length - minShards.length <= 1) return moved;
    const shard = assigned.get(maxMember)!.pop()!;
    assigned.get(minMember)!.push(shard);
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
    candidates: readonly LivePeer[];
    assigned: ReadonlyMap<string, readonly string[]>;
    moved: ReadonlySet<string>;
  },
): OwnershipRecord {
  const epoch = current.epoch + 1;
  const shards: OwnershipRecord['shards'] = {};
  for (const {member, incarnation} of result.candidates) {
    for (const shard of result.assigned.get(member)!) {
      const known = current.shards[shard];
      const isMoved = known === undefined || result.moved.has(shard);
      shards[shard] = isMoved ? {member, incarnation, epoch} : known;
    }
  }
  return {epoch, shards};
}
