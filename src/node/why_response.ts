import {JobExplanation} from '../orchestrator/jobs/job_explanation.js';
import {JobPhase} from '../work/job_definition.js';

/** Body of the response to `GET /why/ID` on the metrics address of a node. */
export interface WhyResponse {
  /** Number of the result code. */
  code: number;
  /** Name of the result code. */
  name: string;
  /** Description of the result. @default none, if there is an explanation */
  message?: string;
  /** Node that responded. */
  node: string;
  /** Node that owns the partition. @default not known */
  owner?: string;
  /** Phase of the job, as the node that responded knows it. */
  phase?: JobPhase;
  explanation?: JobExplanation;
}
