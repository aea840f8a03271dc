Feature: Answers are whole and belong to their request

  Scenario: Any split of the bytes gives the same events
    # Guards against events that are lost or torn at the borders of reads.
    Given the bytes of an answer of 12 tokens
    Then any split of them into reads gives the same 13 events

  Scenario: No input ends the splitter
    # Guards against an exception on malformed bytes of an engine.
    Then any bytes give events or nothing

  Scenario: Doubled, reordered and late pieces leave the answer whole
    # Guards against a token that is sent twice, missing or out of order.
    Given pieces of two attempts in any order, doubled and late
    Then the answer is complete only with all its pieces, in order

  Scenario: A check without offsets would see a doubled piece
    # Shows that the scenario above sees the fault.
    Given an answer put together in the order of arrival
    Then some order of doubled pieces gives a wrong answer

  Scenario Outline: An answer survives a fault of its engine
    # Guards against cut, foreign or silent streams reaching the caller.
    Given two engines, the first with the fault "<fault>"
    When a request is sent to the first engine
    Then its answer is whole and its own after <attempts> attempts

    Examples:
      | fault             | attempts |
      | none              | 1        |
      | cut               | 2        |
      | end mark too soon | 2        |
      | no end mark       | 1        |
      | lost last pieces  | 2        |
      | foreign event     | 2        |
      | wrong attempt     | 2        |
      | silent            | 2        |
      | server error      | 2        |

  Scenario: A request the engine calls malformed is not tried again
    # Guards against retries of requests that can't succeed.
    Given two engines, the first with the fault "bad request"
    When a request is sent to the first engine
    Then it fails after 1 attempt

  Scenario Outline: A stream moves away from a leaving worker
    # Guards against accepted work that is lost with a reclaimed worker.
    Given two model engines that compute 100 tokens
    When the first one is leaving after some tokens and the KV cache is <use>
    Then the answer is whole and <counted> tokens are counted as recomputed

    Examples:
      | use      | counted |
      | exported | no      |
      | left     | some    |
