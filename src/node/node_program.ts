import {NodeLog} from '../logging/node_log.js';
import {composeNode} from './compose_node.js';
import {NodeProcess} from './node_process.js';
import {NodeSettings} from './node_settings.js';

/**
 * Starts a node. SIGTERM or SIGINT stops it gracefully; a second signal exits
 * at once with status 1.
 */
export async function runNode(settings: NodeSettings): Promise<void> {
  const nodeContainer = composeNode(settings);
  const node = nodeContainer.resolve(NodeProcess);
  const log = nodeContainer.resolve(NodeLog);
  let isStopping = false;
  const onSignal = (signal: string): void => {
    if (isStopping) process.exit(1);
    isStopping = true;
    void node.stop(signal).then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  // Settings are not reloaded: addresses cannot change while the node runs, and
  // other settings take effect at the next start.
  process.on('SIGHUP', () => log.logDecision('reload', {outcome: 'unchanged'}));
  process.on('unhandledRejection', (reason) =>
    log.logError('unhandled-rejection', reason as Error),
  );
  await node.start();
}
