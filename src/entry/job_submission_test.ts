import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';

import {ClaimStore} from '../claims/claim_store.js';
import {SystemClock} from '../clock/system_clock.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {PeerRequestHandler} from '../links/peer_network.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {JobClient} from './job_client.js';
import {JobSubmission} from './job_submission.js';

const standIn = new PlatformStandIn();
const clock = new SystemClock();
let platform: HttpPlatformService;

before(async () => {
  const port = await standIn.listen('127.0.0.1', 0);
  platform = new HttpPlatformService({origin: `http://127.0.0.1:${port}`});
});

after(async () => {
  await platform.stop();
  await standIn.stop();
});

/** Fake scheduler that stores accepted jobs; `faults` fail the next submits. */
class SchedulerFake {
  readonly accepted = new Set<string>();
  readonly faults: Array<{code: ResultCode; isAccepted: boolean}> = [];
  /** The other data centre, if it can be reached. */
  other: SchedulerFake | undefined;
  private answerEntry: PeerRequestHandler | undefined;

  onRequest(_name: string, handler: PeerRequestHandler): void {
    this.answerEntry = handler;
  }

  request(
    {role}: {role: string},
    name: string,
    {body}: {body: unknown},
  ): Promise<unknown> {
    if (role === 'entry') {
      const {NO_OWNER} = ResultCodes;
      const noLink = new ResultError(NO_OWNER, 'no link');
      const from = {member: '', incarnation: '', role, dataCentre: ''};
      return this.other?.answerEntry?.(body, from) ?? Promise.reject(noLink);
    }
    const {job, jobId} = body as {job?: {id: string}; jobId?: string};
    const id = job?.id ?? jobId!;
    const fault = name === 'submit' ? this.faults.shift() : undefined;
    if (name === 'submit' && (fault?.isAccepted ?? true)) this.accepted.add(id);
    if (fault) return Promise.reject(new ResultError(fault.code, 'fault'));
    if (this.accepted.has(id)) return Promise.resolve({jobId: id, code: 1001});
    return Promise.reject(new ResultError(ResultCodes.NOT_FOUND, 'unknown'));
  }
}

function submitterOf(
  scheduler: SchedulerFake,
  dataCentre = 'levis',
): (key: string, kind?: string) => Promise<unknown> {
  const client = new JobClient({
    network: scheduler,
    dataCentre,
    schedulers: ['a', 'b'],
    entriesOf: () => ['c'],
  });
  const claims = new ClaimStore({
    platform,
    clock,
    member: 'a',
    incarnation: '1',
  });
  const submission = new JobSubmission({
    client,
    claims,
    clock,
    dataCentre,
  });
  return (key, kind = 'render') =>
    submission.submit({
      customer: 'association',
      caller: 'alice',
      fields: {kind},
      key,
      deadlineMs: clock.nowMs() + 1000,
    });
}

test('P2: a retry through another data centre does not start a second job', async () => {
  // Guards against running a job twice: schedulers have records only of the
  // jobs of their own data centre, so the job seemed unknown and was submitted
  // again.
  const [levis, limoilou] = [new SchedulerFake(), new SchedulerFake()];
  const submit = submitterOf(levis);
  const repeat = submitterOf(limoilou, 'limoilou');
  const first = await submit('two-data-centres');
  const inDoubt = {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED};
  await assert.rejects(repeat('two-data-centres'), inDoubt);
  limoilou.other = levis;
  assert.deepEqual(await repeat('two-data-centres'), first);
  assert.equal(levis.accepted.size, 1);
  assert.equal(limoilou.accepted.size, 0);
});

test('P10: one key creates one job, even if replies are lost', async () => {
  // Guards against a second job for a retry or for concurrent submissions.
  const scheduler = new SchedulerFake();
  const submit = submitterOf(scheduler);
  const {ANSWER_LOST} = ResultCodes;
  scheduler.faults.push({code: ANSWER_LOST, isAccepted: true});
  await assert.rejects(submit('one'), {
    code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED,
  });
  const answers = await Promise.all([submit('one'), submit('one')]);
  const expected = {jobId: [...scheduler.accepted][0], code: 1001};
  assert.deepEqual(answers, [expected, expected]);
  assert.equal(scheduler.accepted.size, 1);
});

test('P10: a submission that was lost in transit is submitted again', async () => {
  // Guards against a key that stays claimed for a job that was never accepted.
  const scheduler = new SchedulerFake();
  const submit = submitterOf(scheduler);
  const {ANSWER_LOST} = ResultCodes;
  scheduler.faults.push({code: ANSWER_LOST, isAccepted: false});
  await assert.rejects(submit('two'));
  await submit('two');
  assert.equal(scheduler.accepted.size, 1);
});

test('P10: a refused job releases its key; another scheduler is tried', async () => {
  // Guards against a key that stays claimed after its job was refused.
  const scheduler = new SchedulerFake();
  const submit = submitterOf(scheduler);
  const {NEVER_FITS, NO_OWNER} = ResultCodes;
  scheduler.faults.push({code: NEVER_FITS, isAccepted: false});
  await assert.rejects(submit('three'), {code: NEVER_FITS});
  scheduler.faults.push({code: NO_OWNER, isAccepted: false});
  // After a refusal, a changed job may be submitted under the same key.
  await submit('three', 'smaller-render');
  assert.equal(scheduler.accepted.size, 1);
});
