import {contractKey} from '../src/contracts/configuration_key.js';
import {HttpPlatformService} from '../src/platform/http_platform_service.js';
import {hashKey} from './operator_api.js';

/** Key of the single caller of the contracts {@link storeContract} writes. */
export const TEST_CALLER_KEY = 'counter-key';

/**
 * Writes a contract directly to the platform, as if an operator had created it
 * earlier; `fields` overrides the defaults.
 */
export async function storeContract(
  platformPort: number,
  fields: Record<string, unknown> = {},
): Promise<void> {
  const origin = `http://127.0.0.1:${platformPort}`;
  const platform = new HttpPlatformService({origin});
  const value = {
    customer: 'association',
    services: ['portal'],
    callers: [{name: 'counter', keyHash: hashKey(TEST_CALLER_KEY)}],
    ...fields,
  };
  const change = {
    id: 'initial',
    operator: 'test',
    atWallMs: 0,
    action: 'create',
  };
  await platform.write({
    key: contractKey(value.customer),
    value: JSON.stringify({value, change}),
    expectedRevision: 0,
  });
  await platform.stop();
}
