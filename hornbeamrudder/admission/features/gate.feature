Feature: Admission gate of a node

  Scenario: A request that has ended no longer counts as open
    # Guards against an account that is refused permanently because refused,
    # expired or withdrawn requests still count as open, and against refused
    # requests that add to the retry budget.
    Given a gate with 2 slots and at most 3 open requests of account "a"
    Then a fourth request is refused at once and an accepted order is not
    And after release, withdrawal and expiry three requests may be open again

  Scenario: The demand of small accounts determines the quiet workers
    # Guards against a running node that never chooses quiet workers.
    Given a gate with 4 slots and at most 3 open requests of account "a"
    When account "chain" requests 9 slots and "b" one
    Then the worker pool receives the demand of this node and 2 slots of the peers

  Scenario: The reported demand is the maximum of the last interval
    # Guards against nodes that compute shares from different demand, which
    # leaves a node without a free slot while its long answers run.
    Given a gate with 2 slots and at most 3 open requests of account "a"
    When two requests begin and end at once
    Then the demand becomes 2 and later 0
