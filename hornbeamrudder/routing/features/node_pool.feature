Feature: Quiet workers on a node

  Scenario Outline: Large accounts do not use quiet workers under contention
    # Guards against a node that does not apply the rule, and against a first
    # attempt that exceeds the share of its node because the quiet workers are
    # excluded for it.
    Given a node with 4 workers of 2 slots and a quiet part of <part>
    And account "shop" is small while "chain" requests all slots
    When "chain" sends <sent> standard requests
    Then <placed> of them find a worker and <quiet_free> quiet slots are free
    And "shop" and an urgent request of "chain" <small>

    Examples:
      | part | sent | placed | quiet_free | small             |
      | 0.25 | 8    | 6      | 2          | find a worker     |
      | 0    | 8    | 8      | 0          | find no worker    |

  Scenario: Without contention all accounts may use quiet workers
    # Guards against idle workers while large accounts wait.
    Given a node with 4 workers of 2 slots and a quiet part of 0.25
    When "chain" sends 8 standard requests
    Then 8 of them find a worker and 0 quiet slots are free

  Scenario: A heartbeat of an earlier release has no small demand
    # Guards against nodes that cannot communicate during a rolling upgrade.
    Then a heartbeat that ends before the small demand is read with none
    And the small demand of a peer without recent heartbeats is left out of the sum
