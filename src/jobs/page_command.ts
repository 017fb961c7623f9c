/** A platform call that {@link JobPages} requests. */
export type PageCommand =
  | {type: 'listPages'; prefix: string}
  | {type: 'readPage'; key: string; writeId: number}
  | {
      type: 'writePage';
      key: string;
      writeId: number;
      value: string;
      expectedRevision: number;
    }
  | {type: 'deletePage'; key: string; expectedRevision: number};
