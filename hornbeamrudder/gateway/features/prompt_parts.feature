Feature: Prompt parts under which servers crash

  Scenario Outline: Requests that crash servers do not reach one after the other
    # Guards against a fleet of engines lost to requests of one kind.
    When requests with a <cause> that crashes its server come at 3 nodes beside sound ones
    Then at most 3 of them reach servers later than the contact bound after the fifth crash
    And sound requests begin at the first attempt at least 0.9 times as often as before

    Examples: what they have in common
      | cause  |
      | part   |
      | prompt |

  Scenario Outline: All nodes stop sending a part that crashes servers
    # Guards against nodes that each learn for themselves, at the price of
    # several servers a node.
    Given <count> nodes of one fleet
    When requests with a part that crashes servers come while the fault is "<fault>"
    Then at most 3 of them are sent by nodes in touch later than 3 s after the fifth crash
    And no sound request is held back

    Examples: full mesh
      | count | fault            |
      | 1     | none             |
      | 7     | none             |
      | 7     | store down       |
      | 7     | nodes restarted  |
      | 7     | nodes cut        |
      | 7     | earlier resets   |

    Examples: hubs
      | count | fault            |
      | 12    | none             |
      | 12    | store down       |
      | 81    | none             |
      | 81    | hubs lost        |
      | 81    | store down       |
      | 81    | nodes restarted  |
      | 81    | nodes cut        |
      | 195   | none             |

    Examples: hubs of some nodes only
      | count | fault                                 |
      | 81    | nodes cut until they report to others |

  Scenario Outline: All nodes stop sending a part that crashes servers before the head of an answer
    # Guards against repeats that take a second server down each time, so that
    # all are down before the crashes can be told from a common cause.
    Given <count> nodes of one fleet
    When requests with a part that crashes <servers> servers before the head of the answer come <rate> times a second
    Then at most 3 of them are sent by nodes in touch later than 3 s after the fifth crash
    And no sound request is held back

    Examples: sizes
      | count | servers | rate |
      | 1     | 9       | 6    |
      | 3     | 9       | 4    |
      | 3     | 9       | 6    |
      | 3     | 9       | 12   |
      | 7     | 9       | 6    |
      | 7     | 22      | 6    |
      | 12    | 9       | 6    |
      | 81    | 22      | 6    |

  Scenario Outline: All nodes stop sending a prompt that crashes servers
    # Guards against a cause that is only in the last part: the parts before
    # it are in sound requests too, whose answers clear them.
    Given <count> nodes of one fleet
    When requests with one prompt that crashes <servers> servers <moment> the head of the answer come
    Then at most 3 of them are sent by nodes in touch later than 3 s after the fifth crash
    And no sound request is held back

    Examples: sizes
      | count | servers | moment |
      | 1     | 22      | after  |
      | 7     | 22      | after  |
      | 7     | 22      | before |
      | 12    | 22      | after  |
      | 81    | 22      | after  |
      | 81    | 22      | before |

  Scenario: Two parts that crash servers are both held back
    # Guards against a second cause that hides behind the first.
    Given 7 nodes of one fleet
    When requests with two parts that crash servers come
    Then both parts are held back at each node, and no others

  Scenario Outline: Crashes of another cause hold no part back
    # Guards against sound requests refused because their servers have ended.
    Given <count> nodes of one fleet
    When servers end because of "<cause>" beside sound requests
    Then nothing is held back at any node

    Examples: what ends them
      | count | cause                       |
      | 7     | a rack                      |
      | 7     | crashes one after the other |
      | 7     | a whole service             |
      | 7     | resets                      |
      | 7     | a cut                       |
      | 7     | a release                   |
      | 7     | racks in turn, before heads |
      | 7     | quick crashes, before heads |
      | 7     | quick crashes, after heads  |
      | 81    | a rack                      |
      | 81    | crashes one after the other |
      | 81    | a whole service             |

  Scenario: A client cannot have the part of another refused
    # Guards against a client that names the parts of others in its requests.
    Given 7 nodes of one fleet
    When requests that crash servers all name a part of another client too
    Then requests of the other client are sent, and those of the first are not

  Scenario: A held part is known to all nodes after they have started again
    # Guards against servers lost again to what was known.
    Given 7 nodes of one fleet
    When all nodes are killed after a part was held back
    Then no request with the part is sent later than 3 s after their start

  Scenario: A held part is tried again by one node at a time, and twice at most
    # Guards against trials by each node, or again and again.
    Given 7 nodes of one fleet
    When requests with a held part come for 900 s
    Then 2 of them are sent after the hold, the second 10 minutes after the first

  Scenario: A part that has become sound is released everywhere by one trial
    # Guards against sound requests refused for ever.
    Given 7 nodes of one fleet
    When a held part no longer crashes servers
    Then requests with it are answered at each node soon after the first trial

  Scenario: Holds are released by removing them from the store
    # Guards against parts that nobody can release.
    Given 7 nodes of one fleet
    When the row of the held parts is removed and the part is sound
    Then requests with it are answered at each node within 8 s

  Scenario: What is remembered of crashes, parts and holds is bounded
    # Guards against memory and messages that grow with what clients send.
    When 2000 crashes with 200 parts each are recorded, and 5000 answers
    Then at most 128 crashes, 32 parts of each, 4096 answered parts and 32 holds are known
    And each message about them fits one datagram

  Scenario Outline: A malformed message about crashes changes nothing
    # Guards against nodes that end for a datagram of another program.
    When a message about crashes has <odd> in it
    Then it is counted as malformed, and nothing is held back

    Examples:
      | odd              |
      | an infinite age  |
      | a negative age   |
      | no list of parts |
      | a missing field  |
