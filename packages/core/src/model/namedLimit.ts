/** Request limits as upstreams name them in the headers of their answers. */
import { Err, Ok, type Result } from '../outcome.js';

/**
 * What one answer says about the request limit of its upstream: requests per second, undefined
 * where it names none. Err describes a value that is not a limit; it changes nothing.
 */
export type NamedLimit = Result<number | undefined, string>;

/**
 * Parses the header of an answer.
 *
 * @param value value of the header; undefined if the answer has none
 */
export function parseRequestLimit(header: string, value: string | undefined): NamedLimit {
  if (value === undefined) return Ok(undefined);
  const text = value.trim();
  const perS = Number(text);
  if (/^(\d+\.?\d*|\.\d+)$/u.test(text) && Number.isFinite(perS)) return Ok(perS);
  return Err(`header "${header}" is "${text}", not a decimal number`);
}
