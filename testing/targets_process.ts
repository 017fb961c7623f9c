import {serveControl} from './stand_in_control.js';
import {TargetStandIn, TargetViolations} from './target_stand_in.js';

/** The only command-line argument, as JSON. */
interface TargetsArgument {
  controlPort: number;
  workMs: number;
  targets: Array<{target: string; port: number}>;
}

const argument = JSON.parse(process.argv[2]!) as TargetsArgument;
const ranKeys = new Map<string, number>();
const standIns = new Map<string, TargetStandIn>();

for (const {target, port} of argument.targets) {
  const {workMs} = argument;
  const standIn = new TargetStandIn({target, workMs, ranKeys});
  await standIn.listen('127.0.0.1', port);
  standIns.set(target, standIn);
}

/** Adds up the counters of all targets. */
function createReport(): Record<string, unknown> {
  const totals: TargetViolations = {
    overSlots: 0,
    overConnections: 0,
    ranTwice: 0,
    afterLeaving: 0,
  };
  let requests = 0;
  let maxInUse = 0;
  let maxOpen = 0;
  const requestsByTarget: Record<string, number> = {};
  for (const [name, standIn] of standIns) {
    for (const kind of Object.keys(totals) as Array<keyof TargetViolations>) {
      totals[kind] += standIn.violations[kind];
    }
    requests += standIn.requests;
    requestsByTarget[name] = standIn.requests;
    maxInUse = Math.max(maxInUse, standIn.maxInUse);
    maxOpen = Math.max(maxOpen, standIn.maxOpen);
  }
  return {violations: totals, requests, requestsByTarget, maxInUse, maxOpen};
}

await serveControl(argument.controlPort, (body) => {
  const standIn = standIns.get(String(body['target']));
  if (body['faults']) standIn?.setFaults(body['faults']);
  if (body['leave']) standIn?.leave();
  if (body['comeBack']) standIn?.rejoin();
  const ranAmong = (body['ranAmong'] as string[] | undefined)?.filter((key) =>
    ranKeys.has(key),
  );
  return {...createReport(), ranAmong};
});
