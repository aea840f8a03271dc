Feature: Backend servers are ordered by data centre for what they can carry

  Scenario Outline: Enough servers are there after reclaims in turn
    # Guards against on-demand servers that are ordered one by one while
    # requests pile up. Load: reclaims of one data centre after another without
    # reclaimable servers to be had, at an even demand.
    Given a planned fleet of <slots> slots a server on hosts of slowness <slowness>
    When two data centres are reclaimed 6 s apart without replacement for 14 s
    Then the urgent demand is carried again one boot time after each reclaim
    And at no time is less than 0.75 of the urgent demand carried
    And on-demand servers cost less than carrying the urgent demand on them for the shortage

    Examples:
      | slots | slowness |
      | 12    | 1.0      |
      | 32    | 1.0      |
      | 64    | 1.0      |
      | 32    | 1.6      |

  Scenario: A third and a fourth reclaim are met as well
    # Guards against on-demand servers that are released while the shortage
    # goes on. Load: a shortage that lasts through reclaims of all data centres.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When all data centres are reclaimed 7 s apart without replacement for 14 s
    Then the urgent demand is carried again one boot time after each reclaim

  Scenario: On-demand servers are released once reclaimable ones serve
    # Guards against a gap between the release and the end of the boot, and
    # against on-demand servers that are kept for nothing.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When two data centres are reclaimed 6 s apart without replacement for 14 s
    Then no on-demand server is left 10 s after the end of the shortage
    And at no time after the shortage is less than the urgent demand carried

  Scenario: A jump of callers is carried until more servers boot
    # Load: a burst of 2.5 times in calm.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When the demand rises to 2.5 times for 8 s
    Then the urgent demand is carried all the time
    And no on-demand server is ordered

  Scenario: Calm costs no on-demand server and no further orders
    # Guards against a sawtooth of orders. Load: waves of 0.3 with a period of
    # 40 s, shifted by data centre.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When the demand of the data centres goes in waves for 80 s
    Then the whole demand is carried all the time
    And no on-demand server is ordered
    And at most 12 orders are made
    And fewer servers are kept than the maximum

  Scenario: Servers follow callers that move to another data centre
    # Load: half of the callers of two data centres move to a third.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When half the callers of two data centres move to a third for 20 s
    Then the third has the most reclaimable servers
    And the whole demand is carried all the time
    And no on-demand server is ordered

  Scenario: A refused order is not repeated at each step
    # Guards against calls at each step of the holder while none are available;
    # the cloud API limits the calls of all duties.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When two data centres are reclaimed 6 s apart without replacement for 14 s
    Then at most 2.5 orders a second are made in the shortage
    And reclaimable servers are ordered within 1.6 s after its end

  Scenario Outline: A new holder goes on with what it finds
    # Guards against a new holder that releases on-demand servers as it knows
    # of no shortage, or orders from nothing.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When the holder changes <after> s after a reclaim of two data centres
    Then at most a boot time is lost until the urgent demand is carried
    And the on-demand servers that serve are kept through the shortage

    Examples:
      | after |
      | 1     |
      | 5     |
      | 9     |

  Scenario: A new holder releases nothing while all nodes count anew
    # Guards against servers released in a shortage that the new holder does
    # not know of yet. Load: all nodes end and start again after a reclaim.
    Given a planned fleet of 12 slots a server on hosts of slowness 1.6
    When all nodes start again 3 s after a reclaim and count arrivals anew
    Then no reclaimable server that serves is released in the shortage

  Scenario: Reclaimed servers are ordered again at once
    # Guards against an order of shortly before that is taken to be still
    # carried out, so that a shortage is noticed only when it is repeated.
    Given a planned fleet of 32 slots a server on hosts of slowness 1.0
    When a data centre is reclaimed 1 s after an order for a rising demand
    Then reclaimable servers are ordered there again within 0.2 s

  Scenario: Demand is added up by data centre over nodes
    # Guards against figures that are lost or counted twice.
    When nodes of two data centres publish their arrivals for 5 s
    Then the rates of each data centre are those of its nodes

  Scenario: A trend is extrapolated over the boot time, a fall is not
    # Load: arrivals that grow within seconds.
    When the arrivals of a data centre grow by a tenth a second
    Then the demand for the end of the boot time is forecast
    And a fall lowers it only slowly

  Scenario Outline: Entries that lapse while the store is unstable
    # Guards against servers that were reclaimed and still count, and against
    # on-demand servers for a store that was down. Load: reclaims during an
    # outage of the store; an outage in calm.
    When <lapsed> of 48 entries lapse while the store is unstable
    Then <serving> servers count as serving

    Examples:
      | lapsed | serving |
      | 0      | 48      |
      | 12     | 36      |
      | 24     | 24      |
      | 48     | 48      |

  Scenario Outline: A roll-out takes no server that is needed afterwards
    # Guards against servers of the version that ends counted as room: others
    # are released meanwhile, or those that end look like a reclaim. Load: a
    # demand that falls while the new servers run beside the old ones.
    Given a fleet whose service is rolled out
    When <count> servers in ten get a new version beside them, which is <result> while <trouble>
    Then no order releases a server before the roll-out is over
    And the urgent demand is carried by the servers of the version that serves
    And on-demand servers are ordered <reason>

    Examples:
      | count | result      | trouble                                | reason          |
      | 10    | completed   | nothing else happens                   | for nothing     |
      | 9     | completed   | the demand falls for a while           | for nothing     |
      | 10    | rolled back | the demand falls for a while           | for nothing     |
      | 10    | rolled back | the holder changes                     | for nothing     |
      | 10    | completed   | two data centres were reclaimed before | for the reclaim |
      | 10    | completed   | two data centres are reclaimed         | for the reclaim |
      | 10    | rolled back | two data centres are reclaimed         | for the reclaim |
      | 1     | rolled back | two data centres were reclaimed before | for the reclaim |
      | 1     | rolled back | nothing else happens                   | for nothing     |

  Scenario: What a roll-out leaves is filled up at once
    # Guards against an order of shortly before that is taken to be still
    # carried out, though its servers have ended.
    When a roll-out that is over leaves 13 of 15 servers
    Then 15 are ordered again at once
