import { isStream, type ObservedResponse, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

const OK = 200;

function findPlainFault({ id, path }: SentRequest, response: ObservedResponse): string | undefined {
  if (!response.isWhole) return undefined;
  if (!response.seal) return `the successful response for ${path} has no seal`;
  return response.body.endsWith(` for ${id}`) ? undefined : `its body is "${response.body}"`;
}

/**
 * Checks that a successful response is complete and belongs to its request, and that a stream has
 * every event once and in order.
 */
export class ResponseIntegrity extends Check {
  override readonly invariant = 'responses are complete and belong to their requests';

  readonly #eventCount: number;

  constructor(context: ConstructorParameters<typeof Check>[0], eventCount: number) {
    super(context);
    this.#eventCount = eventCount;
  }

  override onResponse(request: SentRequest, response: ObservedResponse): void {
    if (response.status !== OK) return;
    const fault = isStream(request.kind)
      ? this.#findStreamFault(request, response)
      : findPlainFault(request, response);
    if (!fault) return;
    const observed = `${response.status}, ${response.isWhole ? 'complete' : 'incomplete'}`;
    this.report(
      `request ${request.id} at ${request.entry}: ${fault} (${observed})`,
      response.endedAtMs,
    );
  }

  #findStreamFault({ id }: SentRequest, response: ObservedResponse): string | undefined {
    const whole = Array.from(
      { length: this.#eventCount },
      (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`,
    ).join('');
    if (response.isWhole && response.body !== whole) return `its stream is "${response.body}"`;
    return whole.startsWith(response.body)
      ? undefined
      : `its stream starts with "${response.body}"`;
  }
}
