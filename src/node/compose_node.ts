import 'reflect-metadata';

import {container, DependencyContainer, instanceCachingFactory} from 'tsyringe';

import {createPlatform} from '../../platform/create_platform.js';
import {SystemClock} from '../clock/system_clock.js';
import {createLogger} from '../logging/create_logger.js';
import {NodeLog} from '../logging/node_log.js';
import {SeededRandom} from '../random/seeded_random.js';
import {NodeProcess} from './node_process.js';
import {NodeSettings} from './node_settings.js';

/** Creates the dependency-injection container of the node program. */
export function composeNode(settings: NodeSettings): DependencyContainer {
  const nodeContainer = container.createChildContainer();
  const clock = new SystemClock();
  const logger = createLogger('banyanmux-node', {
    level: settings.logging.level,
    fields: {node: settings.node},
  });
  const {linesPerSecond} = settings.logging;
  const log = new NodeLog({logger, clock, linesPerSecond});
  nodeContainer.registerInstance(NodeLog, log);
  nodeContainer.register(NodeProcess, {
    useFactory: instanceCachingFactory(
      () =>
        new NodeProcess({
          settings,
          clock,
          log,
          random: new SeededRandom(process.pid ^ Date.now()),
          platform: createPlatform({
            store: settings.store.address,
            advice: settings.advice?.address,
          }),
        }),
    ),
  });
  return nodeContainer;
}
