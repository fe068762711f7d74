/** Traffic of streams and shifts of demand, for cases with a group of model workers. */
import { GROUP_ENGINE } from './config.mjs';
import { send } from './consumer.mjs';
import { wait } from './net.mjs';

/** Interval between two streams at each entry, in milliseconds. */
const STREAM_GAP_MS = 250;

/** Time between two shifts of demand, in milliseconds: the users' tool names 1 s. */
const SHIFT_GAP_MS = 1_500;

/** Moves the demand for experts until the play is over. */
export async function shiftExperts(group, isOver) {
  while (!isOver()) {
    // eslint-disable-next-line no-await-in-loop -- one shift after the other
    await wait(SHIFT_GAP_MS);
    group.favour(Math.floor(Math.random() * GROUP_ENGINE.experts));
  }
}

async function consumeStream(entry) {
  const answer = await send(entry, { path: '/gono990/2f' });
  const { id, status, isComplete, error } = answer;
  const end = isComplete ? 'complete' : `broken off (${error})`;
  entry.record.write(`consumer of ${id} at ${entry.name}: status ${status}, ${end}`);
  return answer;
}

/** Sends streams to an entry until the play is over; @returns their answers. */
export async function consumeStreams(entry, isOver) {
  const streams = [];
  while (!isOver()) {
    streams.push(consumeStream(entry));
    // eslint-disable-next-line no-await-in-loop -- one stream after the other
    await wait(STREAM_GAP_MS);
  }
  return Promise.all(streams);
}

/** Counts answers by how they ended. */
export function describeAnswers(answers) {
  const whole = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  const cut = answers.filter(({ status, isComplete }) => status === 200 && !isComplete);
  const failed = answers.filter(({ status }) => status !== 200 && status !== 0);
  const none = answers.filter(({ status }) => status === 0);
  return (
    `of ${answers.length} streams, ${whole.length} were whole, ${cut.length} were cut, ` +
    `${failed.length} ended with another status, ${none.length} had no answer`
  );
}
