import {IncomingMessage, ServerResponse} from 'node:http';

import {DoorLimits} from './door_limits.js';
import {DoorRefusal, RecordRefusal} from './door_refusal.js';
import {HeldBytes} from './held_bytes.js';
import {isWithinJsonShape} from './json_shape.js';
import {dropBody, receiveBody, ReceivedBody} from './receive_body.js';
import {whenOver} from './when_over.js';

/** Options of {@link JobDoor}. */
export interface JobDoorOptions {
  limits: DoorLimits;
  /** Called with each refusal. */
  recordRefusal: RecordRefusal;
}

/** Bounds on the bodies of requests to the job API. */
export class JobDoor {
  private readonly held: HeldBytes;

  constructor(private readonly options: JobDoorOptions) {
    const {limits, recordRefusal} = options;
    this.held = new HeldBytes(limits.heldBytes, recordRefusal);
  }

  /** Bytes that the bodies of all requests hold now. */
  get heldBytes(): number {
    return this.held.usedBytes;
  }

  /**
   * Receives the body of a request. Its memory is given back when the response
   * is over.
   *
   * @param limitBytes - Maximum size of the body in bytes.
   */
  async receive(
    request: IncomingMessage,
    response: ServerResponse,
    limitBytes: number,
  ): Promise<ReceivedBody> {
    const share = this.held.open(() => request.socket.destroy());
    whenOver(request, response, () => share.release());
    const received = await receiveBody(request, share, {limitBytes});
    const {recordRefusal} = this.options;
    if (received.kind === 'too-large') {
      recordRefusal(DoorRefusal.BODY_TOO_LARGE);
    } else if (received.kind === 'no-memory') {
      recordRefusal(DoorRefusal.HELD_BYTES);
    }
    return received;
  }

  /** Reads and drops the body of a request that needs none. */
  drop(request: IncomingMessage, limitBytes: number): void {
    dropBody(request, limitBytes);
  }

  /** Returns whether a JSON text is small enough to be parsed. */
  admitsJson(text: Buffer): boolean {
    const {mostJsonValues} = this.options.limits;
    if (isWithinJsonShape(text, {mostValues: mostJsonValues})) return true;
    this.options.recordRefusal(DoorRefusal.JSON_SHAPE);
    return false;
  }
}
