import {PlatformStandIn} from './platform_stand_in.js';

/** Arguments: port, delay of VM list changes in ms, seed. */
const [port, vmListLagMs, seed] = process.argv.slice(2).map(Number);

const platform = new PlatformStandIn({vmListLagMs, seed});
await platform.listen('127.0.0.1', port!);
