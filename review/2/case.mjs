/** Streams whose answers have neither a length nor chunks, and a kill of the entry. */
import { KEY } from '../common/config.mjs';
import { send } from '../common/consumer.mjs';
import { Deployment, SETTLE_MS } from '../common/deployment.mjs';
import { wait } from '../common/net.mjs';
import { HAS_TROUBLE, runCase } from '../common/record.mjs';

const STREAMS = 12;
const EVENTS = 28;
const EVENT_GAP_MS = 60;

/** Interval between the starts of two streams; the kill meets each at another event. */
const START_GAP_MS = 40;

/** When the entry is killed, after the start of the first stream. */
const KILL_AT_MS = 1_200;

function createEvent(id) {
  return `id: ${id}\ndata: ${`event ${id} `.padEnd(58, '.')}\n\n`;
}

/** Sends the events of a stream at a sound pace; every second answer has no framing. */
async function streamEvents(record, { worker, id, headers }, response, isUnframed) {
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  if (isUnframed) {
    // With both off, the body has neither a length nor chunks and ends with its channel.
    Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
  }
  const framing = isUnframed ? 'without a length or chunks' : 'in chunks';
  record.write(`${worker.id} runs ${id} from event ${first}, ${framing}`);
  response.writeHead(200, worker.createHeaders({ id }, { 'content-type': 'text/event-stream' }));
  for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
    // eslint-disable-next-line no-await-in-loop -- one event after the other
    await wait(EVENT_GAP_MS);
    response.write(createEvent(event));
  }
  response.end();
}

function countEvents({ body }) {
  return body.match(/^id: /gmu)?.length ?? 0;
}

const deployment = new Deployment();

async function play(record) {
  let answers = 0;
  await deployment.start({
    record,
    onRequest: (request, response) => {
      answers += 1;
      streamEvents(record, request, response, answers % 2 === 1);
    },
  });
  await wait(SETTLE_MS);
  const [entry] = deployment.entries;
  const streams = Array.from({ length: STREAMS }, async (_, at) => {
    await wait(at * START_GAP_MS);
    const answer = await send(entry, { path: '/gono990/2f', key: KEY });
    const { id, status, headers, isComplete, error } = answer;
    const framing = headers['transfer-encoding'] ?? headers['content-length'] ?? 'none';
    record.write(
      `consumer of ${id}: status ${status}, framing ${framing}, ${countEvents(answer)} events, ` +
        `${isComplete ? 'complete' : `broken off (${error})`}`,
    );
    return answer;
  });
  if (HAS_TROUBLE) {
    await wait(KILL_AT_MS);
    entry.signal('SIGKILL');
  }
  const all = await Promise.all(streams);
  const whole = all.filter((answer) => answer.isComplete && countEvents(answer) === EVENTS);
  const short = all.filter(
    ({ status, isComplete, body }) =>
      status === 200 && isComplete && countEvents({ body }) < EVENTS,
  );
  if (!HAS_TROUBLE && whole.length < STREAMS) throw new Error('not all streams were served');
  return {
    isBroken: short.length > 0,
    text:
      `of ${STREAMS} streams, ${whole.length} were whole, ` +
      `${short.length} ended as complete successes before their last event`,
  };
}

await runCase(new URL('./', import.meta.url), play, () => deployment.stop());
