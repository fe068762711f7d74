/** Base of all controllers: a step that reads and writes the shared board. */

/** One part of the control loop; the steps of all controllers run in sequence on one thread. */
export abstract class Controller<Board> {
  /**
   * Reads the board and writes the decisions of this controller to it.
   *
   * @param nowMs time of this iteration by the runtime's clock, in milliseconds
   */
  abstract step(board: Board, nowMs: number): void;
}
