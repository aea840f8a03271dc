Feature: Answers are complete and belong to their request

  Scenario: Any split of the bytes gives the same events
    # Guards against events that are lost or damaged at chunk boundaries.
    Given the bytes of an answer of 12 tokens
    Then any split of them into chunks gives the same 13 events

  Scenario: The event parser accepts any input
    # Guards against an exception on malformed output of an engine.
    Then any bytes are parsed without exception

  Scenario: Duplicated, reordered and stale events do not damage the answer
    # Guards against a token that is sent twice, missing or out of order.
    Given events of two attempts, reordered and duplicated
    Then the answer is complete only with all its events, in order

  Scenario: Assembly without offsets gives wrong answers
    # Shows that the events of the scenario above can cause the failure.
    Given an answer assembled in the order of arrival
    Then some order of duplicated events gives a wrong answer

  Scenario Outline: An answer survives the engine fault "<fault>"
    # Guards against truncated, stalled or wrong streams reaching the caller.
    Given two engines, the first with the fault "<fault>"
    When a request is sent to the first engine
    Then its answer is complete and correct after <attempts> attempts

    Examples:
      | fault                    | attempts |
      | none                     | 1        |
      | cut                      | 2        |
      | end marker too early     | 2        |
      | no end marker            | 1        |
      | last events lost         | 2        |
      | event of another request | 2        |
      | wrong attempt            | 2        |
      | silent                   | 2        |
      | server error             | 2        |

  Scenario: A request that the engine rejects as malformed is not retried
    # Guards against retries of requests that cannot succeed.
    Given two engines, the first with the fault "bad request"
    When a request is sent to the first engine
    Then it fails after 1 attempt

  Scenario Outline: A stream migrates from a leaving worker, KV cache <use>
    # Guards against the loss of accepted requests with a reclaimed worker.
    Given two model engines that generate 100 tokens
    When the first one leaves after some tokens and the KV cache is <use>
    Then the answer is complete and <counted> tokens are counted as recomputed

    Examples:
      | use          | counted |
      | exported     | no      |
      | not exported | some    |

  Scenario: A stream of a leaving worker outlasts refusals of the other one
    # Guards against streams cut while there is time to resume them.
    Given two model engines that generate 100 tokens and the second one refuses for 1 s
    When the first one leaves for good after some tokens
    Then the answer is complete and some tokens are counted as recomputed
