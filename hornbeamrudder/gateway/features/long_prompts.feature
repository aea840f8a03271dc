Feature: Long prompts beside short ones

  Scenario Outline: How many engines gather long prompts follows from the load
    # Load: bursts of long prompts, in calm and while all engines are busy.
    # Some engines suffice in calm; none gathers where the others would lack
    # the room for the short ones, as when half of the engines are reclaimed.
    When long prompts load <long> and other prompts <others> of <engines> engines
    Then long prompts gather at between <low> and <high> engines

    Examples: a burst on a calm service
      | long | others | engines | low | high |
      | 0    | 2      | 40      | 0   | 0    |
      | 0.5  | 2      | 40      | 2   | 10   |
      | 3    | 2      | 40      | 10  | 34   |

    Examples: all engines busy, and half of them reclaimed
      | long | others | engines | low | high |
      | 3    | 14     | 40      | 0   | 0    |
      | 2    | 4      | 40      | 8   | 28   |
      | 2    | 4      | 20      | 1   | 8    |
      | 2    | 8      | 20      | 0   | 0    |

    Examples: few engines
      | long | others | engines | low | high |
      | 0.2  | 0.2    | 3       | 0   | 2    |
      | 0.5  | 1      | 3       | 0   | 0    |

  Scenario Outline: Both kinds are in time, and streams have fewer long pauses
    # Load: long prompts in bursts beside streams and short prompts. A pause
    # is long from the target gap of the streams on. What is spared there must
    # not be paid for by short prompts, or by long ones that starve.
    When <rate> requests per second, <key> in 100 of one key, arrive at <engines> engines, every fourth slow by <slowness>, <reclaimed> of them reclaimed
    Then at least 95 of 100 short prompts and of 100 long ones are in time
    And at most half as many streams have a long pause as without a target gap
    And the median short prompt waits at most 10 ms longer than without a target gap

    Examples:
      | load                            | engines | rate | key | slowness | reclaimed |
      | calm                            | 40      | 60   | 0   | 1.0      | 0         |
      | slow hosts                      | 40      | 60   | 0   | 1.7      | 0         |
      | one key                         | 40      | 60   | 35  | 1.0      | 0         |
      | half of the engines reclaimed   | 40      | 60   | 0   | 1.0      | 20        |
      | all engines busy with streams   | 20      | 120  | 0   | 1.0      | 0         |

  Scenario Outline: Few engines keep both kinds in time
    # Load: as above, where each engine has much of all streams.
    When <rate> requests per second, 0 in 100 of one key, arrive at <engines> engines, every fourth slow by <slowness>, <reclaimed> of them reclaimed
    Then at least 95 of 100 short prompts and of 100 long ones are in time
    And no more streams have a long pause than without a target gap

    Examples:
      | engines | rate | slowness | reclaimed |
      | 12      | 15   | 1.7      | 0         |
      | 6       | 6    | 1.0      | 0         |
      | 6       | 6    | 1.0      | 3         |

  Scenario Outline: Long and short prompts start at an engine under one bound
    # Load: engines full of streams, and a reclaim that leaves few. A prompt
    # is sent where it starts in time, whatever its length: neither kind is
    # kept out for the other, so that none starves.
    When an engine has <running> of 32 requests in progress and <backlog> tokens ahead
    Then prompts of 500 and of 40000 tokens both <outcome> there

    Examples:
      | running | backlog | outcome |
      | 0       | 0       | start   |
      | 24      | 0       | start   |
      | 24      | 8000    | start   |
      | 24      | 20000   | wait    |
      | 31      | 8000    | wait    |
      | 40      | 0       | wait    |

  Scenario: An engine without a free slot is left for one that has some
    # Load: all engines busy with streams. A request without a slot waits for
    # another one to end, so that a full engine costs more than it seems.
    Then of engines with 33 and 12 of 32 requests in progress the second is chosen by 200 nodes

  Scenario Outline: Slots stay reserved where the wait for one is not estimated
    # Load: few nodes, whose reports count as current. An urgent prompt finds
    # a slot beside less urgent ones, short or long.
    When an engine has <running> of 32 requests in progress and 0 tokens ahead
    Then without an estimated wait for a slot an urgent prompt <urgent> there and less urgent ones <others>

    Examples:
      | running | urgent | others |
      | 20      | starts | start  |
      | 28      | starts | wait   |
      | 32      | waits  | wait   |
