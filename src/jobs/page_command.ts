/** A platform call that the page logic asks for. */
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
