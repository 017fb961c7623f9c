import {request} from 'node:http';

import {Executor, ExecutorOptions} from './executor.js';

/** The only argument, as JSON: options of the executor, and the store's port. */
type Argument = Omit<ExecutorOptions, 'register' | 'onEvent'> & {
  storePort: number;
};

const {storePort, ...options} = JSON.parse(process.argv[2]!) as Argument;

function register(key: string, value: unknown): Promise<void> {
  return new Promise((resolve) => {
    const call = request(
      {
        host: '127.0.0.1',
        port: storePort,
        path: '/stand-in/put',
        method: 'POST',
      },
      (response) => response.resume().on('end', resolve),
    );
    // The next heartbeat tries again.
    call.on('error', () => resolve());
    call.end(JSON.stringify({key, value}));
  });
}

const executor = new Executor({
  ...options,
  register,
  onEvent: (event) => process.stdout.write(`${JSON.stringify(event)}\n`),
});
await executor.start();
// Ends with the script that started it.
process.stdin.on('end', () => process.exit(0)).resume();
