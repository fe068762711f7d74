import { isStream, type SeenAnswer, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

const OK = 200;

function judgePlain({ id, path }: SentRequest, answer: SeenAnswer): string | undefined {
  if (!answer.isWhole) return undefined;
  if (!answer.seal) return `a success for ${path} has no seal`;
  return answer.body.endsWith(` for ${id}`) ? undefined : `its body is "${answer.body}"`;
}

/** A success is whole and the caller's own; a stream has every event once and in order. */
export class OwnAnswer extends Check {
  override readonly promise = 'whole and own answers';

  readonly #eventCount: number;

  constructor(context: ConstructorParameters<typeof Check>[0], eventCount: number) {
    super(context);
    this.#eventCount = eventCount;
  }

  override noteAnswer(request: SentRequest, answer: SeenAnswer): void {
    if (answer.status !== OK) return;
    const fault = isStream(request.kind)
      ? this.#judgeStream(request, answer)
      : judgePlain(request, answer);
    if (!fault) return;
    const told = `${answer.status}, ${answer.isWhole ? 'whole' : 'cut'}`;
    this.report(`request ${request.id} at ${request.entry}: ${fault} (${told})`, answer.endedAtMs);
  }

  #judgeStream({ id }: SentRequest, answer: SeenAnswer): string | undefined {
    const whole = Array.from(
      { length: this.#eventCount },
      (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`,
    ).join('');
    if (answer.isWhole && answer.body !== whole) return `its stream is "${answer.body}"`;
    return whole.startsWith(answer.body) ? undefined : `its stream begins "${answer.body}"`;
  }
}
