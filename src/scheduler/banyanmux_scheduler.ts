#!/usr/bin/env node
import {runDaemon} from '../settings/run_daemon.js';
import {runScheduler} from './scheduler_program.js';
import {schedulerSettingsSchema} from './scheduler_settings.js';

await runDaemon({
  name: 'banyanmux-scheduler',
  description: 'Accepts jobs, places tasks and watches workers',
  schema: schedulerSettingsSchema,
  run: runScheduler,
});
