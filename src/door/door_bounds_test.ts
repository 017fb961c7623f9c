import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {ConnectionTable} from './connection_table.js';
import {DoorRefusal} from './door_refusal.js';
import {HeldBytes} from './held_bytes.js';
import {isWithinJsonShape} from './json_shape.js';

class FakeSocket extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

function createSocket(): Socket {
  return new FakeSocket() as unknown as Socket;
}

test('the oldest incomplete body makes room, a complete one does not', () => {
  // Guards against bodies that stop short of their end and keep the memory, and
  // against a sound request that loses its body while it is in service.
  const closed: string[] = [];
  const held = new HeldBytes(100);
  const inService = held.open(() => closed.push('in service'));
  inService.grow(40);
  inService.complete();
  const oldest = held.open(() => closed.push('oldest'));
  oldest.grow(40);
  const newest = held.open(() => closed.push('newest'));
  assert.ok(newest.grow(60));
  assert.deepEqual(closed, ['oldest']);
  assert.equal(held.usedBytes, 100);
  assert.equal(held.open(() => undefined).grow(10), true);
  assert.deepEqual(closed, ['oldest', 'newest']);
  assert.equal(held.open(() => undefined).grow(90), false);
});

test('bytes are given back once', () => {
  // Guards against a budget that shrinks or grows with each closed request.
  const held = new HeldBytes(100);
  const share = held.open(() => undefined);
  share.grow(30);
  share.release();
  share.release();
  assert.equal(held.usedBytes, 0);
});

test('a full table closes the connection that is quiet for the longest', () => {
  // Guards against a crowd of silent connections that keeps others out, and
  // against a request in service that loses its connection.
  const clock = new ManualClock();
  const refusals: DoorRefusal[] = [];
  const table = new ConnectionTable({
    clock,
    mostConnections: 3,
    recordRefusal: (reason) => refusals.push(reason),
  });
  const sockets = Array.from({length: 4}, createSocket);
  for (const socket of sockets.slice(0, 3)) {
    table.add(socket);
    clock.advance(10);
  }
  const complete = {complete: true} as IncomingMessage;
  table.get(sockets[0]!)!.open.add(complete);
  table.add(sockets[3]!);
  assert.deepEqual(
    sockets.map(({destroyed}) => destroyed),
    [false, true, false, false],
  );
  assert.deepEqual(refusals, [DoorRefusal.QUIET_CONNECTION]);
});

test('a new connection is refused only while all others are in service', () => {
  // Guards against descriptors that run out.
  const table = new ConnectionTable({
    clock: new ManualClock(),
    mostConnections: 1,
    recordRefusal: () => undefined,
  });
  const first = createSocket();
  table.add(first);
  table.get(first)!.open.add({complete: true} as IncomingMessage);
  const second = createSocket();
  table.add(second);
  assert.equal(first.destroyed, false);
  assert.equal(second.destroyed, true);
});

test('values and depth of a JSON text are counted outside of strings', () => {
  // Guards against short fields that take many times their size once parsed,
  // and against sound texts that are refused for what their strings contain.
  const check = (text: string): boolean =>
    isWithinJsonShape(Buffer.from(text), {mostValues: 10, mostDepth: 3});
  assert.ok(check('{"a":[1,2,3],"b":{"c":4}}'));
  assert.ok(check(JSON.stringify({text: ',[{"'.repeat(50)})));
  assert.ok(!check(JSON.stringify(Array.from({length: 11}, () => 0))));
  assert.ok(!check('[[[[1]]]]'));
});
