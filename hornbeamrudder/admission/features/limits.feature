Feature: Account limits and floors from the rules

  Scenario Outline: A changed floor keeps the queue and applies to later service
    # Guards against requests lost when the rules change, and against a rank
    # that is compensated for all past service if its floor was 0 before.
    Given a controller with floors <old>, no slots and 3 waiting requests of each rank
    When the floors become <new> and 9 slots are given
    Then all 9 requests are granted in the order "<order>"

    Examples:
      | old     | new        | order     |
      | 0,0,0   | 0,0.3,0.05 | sbuususbb |
      | 0,0.3,0 | 0,0,0      | uuusssbbb |
      | 0,0,0   | 0,0,0      | uuusssbbb |

  Scenario: Floors with a sum of 1 leave a remainder
    # Guards against an exception raised for floors that the rules allow.
    Given a controller with floors 0,0,0, no slots and 3 waiting requests of each rank
    When the floors become 0.5,0.3,0.2 and 9 slots are given
    Then all 9 requests are granted

  Scenario Outline: An account receives its limit and no more
    # Guards against limits that are not enforced, that a burst exceeds, or
    # that each of several nodes grants in full.
    Given a limit of <limit> <name> and <nodes> live nodes
    When 1000 requests of 10 tokens arrive in 10 seconds on one node
    Then between <low> and <high> of them are admitted
    And the refusal is not run, at step "admit request", with a retry time

    Examples:
      | limit | name                | nodes | low | high |
      | 7     | requests_per_second | 1     | 70  | 77   |
      | 7     | requests_per_second | 7     | 10  | 11   |
      | 70    | tokens_per_second   | 1     | 70  | 78   |
      | 70    | tokens_per_second   | 7     | 10  | 12   |
      | 21    | open_requests       | 7     | 3   | 3    |
      | 2     | open_requests       | 7     | 1   | 1    |

  Scenario: Without a limit all requests are admitted
    # Guards against limiting accounts that have no limit in the rules.
    Given a limit of 0 nothing and 7 live nodes
    When 1000 requests of 10 tokens arrive in 10 seconds on one node
    Then between 1000 and 1000 of them are admitted

  Scenario: The part of a failed node goes to the remaining nodes
    # Guards against an account that is permanently held to a part of its limit.
    Given a limit of 14 open_requests and 2 live nodes
    When 20 requests arrive and one node fails before 20 more
    Then 7 are open before and 14 after it

  Scenario: A full queue refuses requests
    # Guards against queues that grow beyond the limits in the rules.
    Then a queue of 5 requests and 50 tokens is full at limits of 5 and 1000
    And a queue of 5 requests and 50 tokens is full at limits of 1000 and 55
    And a queue of 5 requests and 50 tokens is not full at limits of 6 and 60

  Scenario Outline: An answer without a worker waits within its deadline
    # Guards against refusing a granted request because no worker is available
    # at that moment.
    Given an answer with a deadline in <deadline_ms> ms and a worker after <tries> tries
    When its first attempt is run
    Then it <end>

    Examples:
      | deadline_ms | tries  | end               |
      | 5000        | 1      | was sent          |
      | 5000        | 4      | was sent          |
      | 120         | 100000 | failed as not run |
