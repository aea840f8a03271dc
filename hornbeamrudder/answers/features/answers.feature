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
    When the first one leaves after some tokens and its streams are cut
    Then the answer is complete and some tokens are counted as recomputed

  Scenario: A leaving worker that no other worker replaces completes its stream
    # Guards against a stream stopped for a worker that then refuses it.
    Given two model engines that generate 100 tokens and the second one refuses for 60 s
    When the first one leaves after some tokens and the KV cache is not exported
    Then the answer is complete and no tokens are counted as recomputed

  Scenario: A stream cut while another worker is asked continues there
    # Guards against a second request for a stream that is already asked for.
    Given two model engines that generate 100 tokens and the second one is silent for 0.5 s
    When the first one leaves after some tokens and its streams are cut
    Then the answer is complete and some tokens are counted as recomputed
    And 2 attempts were made

  Scenario Outline: Only attempts that may have run use up those of an answer, <count> times <end>
    # Guards against refusals that end an answer or are repeated without pause.
    When <count> attempts of an answer that <has> begun end with <end>
    Then with <left> s left <expected>

    Examples:
      | count | has     | end             | left | expected                      |
      | 7     | has     | status 500      | 60   | another is made after 0.05 s  |
      | 8     | has     | status 500      | 60   | none is made                  |
      | 8     | has     | connection lost | 60   | none is made                  |
      | 1     | has     | status 503      | 60   | another is made after 0.1 s   |
      | 3     | has     | status 429      | 60   | another is made after 0.4 s   |
      | 40    | has     | no connection   | 60   | another is made after 1 s     |
      | 40    | has     | status 503      | 0.25 | another is made after 0.25 s  |
      | 40    | has     | status 503      | -0.1 | none is made                  |
      | 7     | has not | status 503      | 60   | another is made after 0.05 s  |
      | 8     | has not | status 503      | 60   | none is made                  |

  Scenario: A node that takes an answer over does not count refused attempts
    # Guards against an answer that its next node gives up at the first break.
    Given an answer with 10 attempts, 9 of them refused
    When a node takes it over from another one
    Then the answer there has 10 attempts, 9 of them refused
