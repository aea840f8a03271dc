Feature: Roll-outs by real nodes

  Scenario Outline: Nodes roll a service out
    # Guards against an order, a state or a count that does not pass between
    # the store, the holder and the other nodes; 12 nodes have hubs.
    Given <nodes> nodes, and an order of a <kind> version with a time budget of 9 s
    When <trouble> while requests are sent
    Then the state of the roll-out is <state>
    And the new version got <share> requests
    And each request was answered

    Examples:
      | nodes | kind | trouble                              | state       | share |
      | 3     | good | nothing happens                      | completed   | all   |
      | 3     | bad  | nothing happens                      | rolled_back | few   |
      | 3     | good | the holder is cut off from the store | completed   | all   |
      | 3     | bad  | the holder is cut off from the store | rolled_back | few   |
      | 12    | good | nothing happens                      | completed   | all   |
      | 12    | bad  | nothing happens                      | rolled_back | few   |

  Scenario: Versions play no role without bounds on roll-outs
    # Guards against deployments without roll-outs that are served otherwise.
    When a node without bounds on roll-outs serves two versions, one ordered
    Then both versions get requests and no state is written
