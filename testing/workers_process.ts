import {Resources} from '../src/workers/resources.js';
import {serveControl} from './stand_in_control.js';
import {TaskLedger} from './task_ledger.js';
import {WorkerStandIn} from './worker_stand_in.js';

/** The only command-line argument, as JSON. */
interface WorkersArgument {
  controlPort: number;
  workers: Array<{
    worker: string;
    port: number;
    capacity: Resources;
    clockRate: number;
  }>;
}

const argument = JSON.parse(process.argv[2]!) as WorkersArgument;
const ledger = new TaskLedger();
const standIns = new Map<string, WorkerStandIn>();

for (const {worker, port, capacity, clockRate} of argument.workers) {
  const standIn = new WorkerStandIn({worker, capacity, ledger, clockRate});
  await standIn.listen('127.0.0.1', port);
  standIns.set(worker, standIn);
}

await serveControl(argument.controlPort, (body) => {
  const standIn = standIns.get(String(body['worker']));
  if (body['faults']) standIn?.setFaults(body['faults']);
  if (body['leave'] && standIn) standIn.leaving = true;
  if (body['restart']) standIn?.restart();
  const finishedTaskIds = (
    body['finishedAmong'] as string[] | undefined
  )?.filter((taskId) => ledger.finished.has(taskId));
  return {
    violations: ledger.violations,
    details: ledger.details.slice(0, 20),
    starts: ledger.starts,
    finished: ledger.finished.size,
    running: ledger.runningCount(),
    isFinished: finishedTaskIds,
  };
});
