Feature: Limits at the gate of a node

  Scenario: Every request that has ended is no longer open
    # Guards against an account that is refused for good because a refused,
    # expired or withdrawn request still counts, and against refused requests
    # that earn retries.
    Given a gate with 2 slots and at most 3 open requests of account "a"
    Then a fourth request is refused at once and an accepted order is not
    And after release, withdrawal and expiry three requests may be open again

  Scenario: Small accounts' demand decides on quiet workers
    # Guards against quiet workers that are never chosen on a running node.
    Given a gate with 4 slots and at most 3 open requests of account "a"
    When account "chain" wants 9 slots and "b" one
    Then the workers are told the demand of this node and 2 slots of the peers

  Scenario: Demand is the highest of an interval and stays until the next
    # Guards against shares that nodes compute from different demand, so that
    # a node gets no free slot for as long as its long answers run.
    Given a gate with 2 slots and at most 3 open requests of account "a"
    When two requests begin and end at once
    Then the demand becomes 2 and later 0
