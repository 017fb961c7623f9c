import {decode, encode} from 'cbor-x';

/** Value of the owner key of a partition. */
export interface OwnerRecord {
  /** Name of the owning node. */
  node: string;
  /** IP address on which the owner accepts links from other nodes. */
  host: string;
  port: number;
  /** Secret that authenticates links to this owner. */
  linkToken: string;
}

/** Encodes the value of an owner key. */
export function encodeOwner(owner: OwnerRecord): Buffer {
  return encode(owner);
}

/** Decodes the value of an owner key. */
export function decodeOwner(value: Buffer): OwnerRecord {
  return decode(value) as OwnerRecord;
}
