import {WhyResponse} from '../node/why_response.js';
import {
  JobExplanation,
  SearchExplanation,
  StepExplanation,
} from '../orchestrator/jobs/job_explanation.js';

const MS_PER_SECOND = 1000;

/** Formats the explanation of a node for people. */
export function formatExplanation(response: WhyResponse): string {
  const {explanation, name, message, node, owner, phase} = response;
  const lines = explanation
    ? formatJob(explanation, owner)
    : [
        `${name}: ${message ?? ''}`,
        `asked ${node}; owner ${owner ?? 'unknown'}; phase ${phase ?? 'unknown'}`,
      ];
  return `${lines.join('\n')}\n`;
}

function formatJob(job: JobExplanation, owner: string | undefined): string[] {
  const {failedOn, firstStartMs, ...counts} = job.history;
  const failures = failedOn ? `; failed on ${failedOn.join(', ')}` : '';
  const firstStart =
    firstStartMs === undefined
      ? 'none started'
      : `first started after ${formatSeconds(firstStartMs)}`;
  const known = formatSeconds(job.knownMs);
  return [
    `job ${job.job}: ${job.phase}, queue ${job.queue}, service ${job.service}`,
    `accepted ${formatSeconds(job.ageMs)} ago; owner ${owner ?? 'unknown'} knows it for ${known}`,
    `runs of this owner: ${formatCounts(counts)}; ${firstStart}${failures}`,
    ...job.steps.flatMap(formatStep),
  ];
}

function formatStep(step: StepExplanation): string[] {
  const idle =
    step.idleMs === undefined ? '' : `; idle for ${formatSeconds(step.idleMs)}`;
  const lines = [`step ${step.step}: ${formatCounts(step.tasks)}${idle}`];
  if (step.hold) lines.push(`  held back: ${step.hold}`);
  for (const {task, run, state, worker, assignedMs} of step.runs) {
    const since =
      assignedMs === undefined
        ? ''
        : `, assigned ${formatSeconds(assignedMs)} ago`;
    lines.push(`  run ${run} of ${task} on ${worker}: ${state}${since}`);
  }
  if (step.search) lines.push(...formatSearch(step.search));
  return lines;
}

function formatSearch(search: SearchExplanation): string[] {
  const {task, cpuMillicores, memoryMb, acceleratorCount} = search;
  const request = {cpuMillicores, memoryMb, acceleratorCount};
  const {refusals, failures, suitable, withRoom} = search;
  const lines = [
    `  ${task} requests ${formatCounts(request)}; ${formatCounts({refusals, failures})}`,
    `  workers: ${formatCounts({suitable, withRoom})}`,
    `  excluded: ${formatCounts(largestFirst(search.excluded))}`,
  ];
  if (search.isSuspect) lines.push('  the task may have crashed a worker');
  if (search.isRemembered) {
    lines.push(
      '  no worker was found lately; workers that change are searched',
    );
  }
  return lines;
}

/** Returns counts with the largest first. */
function largestFirst(
  counts: Readonly<Record<string, number>>,
): Record<string, number> {
  const entries = Object.entries(counts);
  return Object.fromEntries(
    entries.sort(([, left], [, right]) => right - left),
  );
}

function formatCounts(counts: object): string {
  const entries = Object.entries(
    counts as Record<string, number | undefined>,
  ).filter(([, count]) => count !== undefined);
  if (entries.length === 0) return 'none';
  return entries.map(([name, count]) => `${name} ${count}`).join(', ');
}

function formatSeconds(durationMs: number): string {
  return `${(durationMs / MS_PER_SECOND).toFixed(1)} s`;
}
