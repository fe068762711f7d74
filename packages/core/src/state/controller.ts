/** What every controller has in common: a step that reads and writes the blackboard. */

/** A part of the control loop; steps run one after the other on one thread. */
export abstract class Controller<Board> {
  /**
   * Reads the blackboard and writes its decisions to it.
   *
   * @param nowMs time of this round by the runtime's clock
   */
  abstract step(board: Board, nowMs: number): void;
}
