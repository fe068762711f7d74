/** Bytes that a server in trouble may send in place of an HTTP response. */

/** What is wrong with the bytes. */
export enum BrokenAnswer {
  StatusZero = 'status 000',
  StatusTooLow = 'status 099',
  StatusTooHigh = 'status 600',
  StatusOfFourDigits = 'a status of four digits',
  OtherVersion = 'an unknown protocol version',
  BlankInName = 'a blank in a field name',
  BlankBeforeName = 'a blank before a field name',
  BlankBehindName = 'a blank behind a field name',
  LineFeedBeforeName = 'a line feed before a field name',
  CarriageReturnBeforeName = 'a carriage return before a field name',
  TwoCarriageReturns = 'two carriage returns behind the status line',
  ControlInReason = 'a control byte in the reason',
  FoldedLine = 'a folded line',
  TabInName = 'a tab in a field name',
  ControlInName = 'a control byte in a field name',
  NulInName = 'a NUL byte in a field name',
  ControlInValue = 'a control byte in a value',
  LengthWithBlank = 'a blank in the name of the length',
  CodingWithBlank = 'a blank in the name of the transfer coding',
  CodingWithControl = 'a control byte in the name of the transfer coding',
  UnknownCoding = 'an unknown transfer coding',
  TwoLengths = 'two lengths',
  LengthAndCoding = 'a length and a transfer coding',
  HalfStatusLine = 'half a status line',
  HalfName = 'half a field name',
  HalfValue = 'half a value',
  HalfLineEnd = 'half a line end',
  HalfHead = 'a head without its last line',
  HalfHeadEnd = 'half the end of a head',
  HalfSecondHead = 'an informational head and half of the final one',
}

const OK = 'HTTP/1.1 200 OK\r\n';

const LENGTH = 'content-length: 4\r\n';

const BODY = '\r\ndone';

const CHUNKS = '\r\n4\r\ndone\r\n0\r\n\r\n';

/** By kind, creates the bytes from further header lines, each with its line end. */
const WRITERS: Readonly<Record<BrokenAnswer, (lines: string) => string>> = {
  [BrokenAnswer.StatusZero]: (lines) => `HTTP/1.1 000 Odd\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.StatusTooLow]: (lines) => `HTTP/1.1 099 Odd\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.StatusTooHigh]: (lines) => `HTTP/1.1 600 Odd\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.StatusOfFourDigits]: (lines) => `HTTP/1.1 2000 Odd\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.OtherVersion]: (lines) => `HTTP/2.0 200 OK\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.BlankInName]: (lines) => `${OK}${lines}x odd: 1\r\n${LENGTH}${BODY}`,
  [BrokenAnswer.BlankBeforeName]: (lines) => `${OK} x-odd: 1\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.BlankBehindName]: (lines) => `${OK}${lines}content-length : 4\r\n${BODY}`,
  [BrokenAnswer.LineFeedBeforeName]: (lines) => `${OK}${lines}x-odd: 1\r\n\n${LENGTH}${BODY}`,
  [BrokenAnswer.CarriageReturnBeforeName]: (lines) => `${OK}${lines}x-odd: 1\r\n\r${LENGTH}${BODY}`,
  [BrokenAnswer.TwoCarriageReturns]: (lines) => `HTTP/1.1 200 OK\r\r${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.ControlInReason]: (lines) => `HTTP/1.1 200 O\u0001K\r\n${lines}${LENGTH}${BODY}`,
  [BrokenAnswer.FoldedLine]: (lines) => `${OK}${lines}x-odd: 1\r\n ${LENGTH}${BODY}`,
  [BrokenAnswer.TabInName]: (lines) => `${OK}${lines}x\todd: 1\r\n${LENGTH}${BODY}`,
  [BrokenAnswer.ControlInName]: (lines) => `${OK}${lines}x\u0001odd: 1\r\n${LENGTH}${BODY}`,
  [BrokenAnswer.NulInName]: (lines) => `${OK}${lines}x\u0000odd: 1\r\n${LENGTH}${BODY}`,
  [BrokenAnswer.ControlInValue]: (lines) => `${OK}${lines}x-odd: a\u0001b\r\n${LENGTH}${BODY}`,
  [BrokenAnswer.LengthWithBlank]: (lines) => `${OK}${lines}content length: 4\r\n${BODY}`,
  [BrokenAnswer.CodingWithBlank]: (lines) => `${OK}${lines}transfer encoding: chunked\r\n${CHUNKS}`,
  [BrokenAnswer.CodingWithControl]: (lines) =>
    `${OK}${lines}transfer-\u0007encoding: chunked\r\n${CHUNKS}`,
  [BrokenAnswer.UnknownCoding]: (lines) =>
    `${OK}${lines}transfer-encoding: chunked, x\r\n${CHUNKS}`,
  [BrokenAnswer.TwoLengths]: (lines) => `${OK}${lines}${LENGTH}content-length: 2\r\n${BODY}`,
  [BrokenAnswer.LengthAndCoding]: (lines) =>
    `${OK}${lines}${LENGTH}transfer-encoding: chunked\r\n${CHUNKS}`,
  [BrokenAnswer.HalfStatusLine]: () => 'HTTP/1.1 200',
  [BrokenAnswer.HalfName]: (lines) => `${OK}${lines}${LENGTH}x-o`,
  [BrokenAnswer.HalfValue]: (lines) => `${OK}${lines}x-odd: 1`,
  [BrokenAnswer.HalfLineEnd]: (lines) => `${OK}${lines}x-odd: 1\r`,
  [BrokenAnswer.HalfHead]: (lines) => `${OK}${lines}${LENGTH}`,
  [BrokenAnswer.HalfHeadEnd]: (lines) => `${OK}${lines}x-odd: 1\r\n\r`,
  [BrokenAnswer.HalfSecondHead]: (lines) =>
    `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${OK}${lines}`,
};

/** @param lines further header lines, each with its line end */
export function writeBrokenAnswer(kind: BrokenAnswer, lines: string): Buffer {
  return Buffer.from(WRITERS[kind](lines), 'latin1');
}
