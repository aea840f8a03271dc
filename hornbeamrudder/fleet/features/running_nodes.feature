Feature: Fleet control by running nodes

  Scenario: Nodes replace reclaimed hosts, even after the holder is killed
    # Guards against nodes that do not run the controller, loss of fleet control
    # when the holder crashes, started hosts that receive no requests, and
    # refusals without a fallback to another offer.
    Given 3 nodes that control a fleet of 2 model engines
    Then one node holds the fleet lease
    When the host of the first engine is reclaimed
    Then a reclaimable host is started and its engine is in the document
    When the lease holder is killed
    Then another node holds the fleet lease under a higher number
    When reclaimable starts are refused and the host of the second engine is reclaimed
    Then an on-demand host is started and its engine is in the document
    And the hosts that are gone are removed from the document
    And the new engines serve the model that was loaded for them
    When the lease holder is stopped gracefully
    Then another node holds the fleet lease under a higher number

  Scenario: An operator's edit is kept when hosts start at the same time
    # Guards against a host update that reverts an operator's edit.
    Given a registrar whose document is edited by an operator during its change
    When the registrar runs 3 steps
    Then the document has the edit and the started host

  Scenario: Only the lease holder changes the hosts, at a limited rate
    # Guards against two nodes that alternately change the document, and against
    # a flapping cloud API that causes too many versions.
    Given a registrar whose hosts change with each step
    When the registrar runs 5 steps without the lease
    Then no change was proposed
    When the registrar runs 100 steps with the lease
    Then 6 changes were proposed

  Scenario: Hosts are removed only if the cloud API records them as gone
    # Guards against removing hosts of another provider, or hosts that are
    # briefly missing from a response.
    Given a registrar with hosts that are gone, leaving, unknown and timing out
    When the registrar runs 3 steps
    Then only the host that is gone is removed from the document

  Scenario: The demand of all nodes and the rules give the desired state
    # Guards against demand of nodes that is lost or counted twice, and against
    # a rule that has no effect without demand.
    Given rates of 2 nodes and a rule of 20 urgent slots
    Then the desired state has both rates, and 20 slots without demand
