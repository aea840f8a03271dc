Feature: Fleet control by the running nodes

  Scenario: Nodes replace reclaimed hosts, also after the holder is killed
    # Guards against a controller that no node runs, a holder whose death
    # ends the control of the fleet, started hosts that no node routes to,
    # and a refusal that is not answered by another offer.
    Given 3 nodes that control a fleet of 2 model engines
    Then one node holds the fleet lease
    When the host of the first engine is reclaimed
    Then a reclaimable host is started and its engine is in the document
    When the lease holder is killed
    Then another node holds the fleet lease under a higher number
    When reclaimable starts are refused and the host of the second engine is reclaimed
    Then an on-demand host is started and its engine is in the document
    And the hosts that are gone have left the document
    And the new engines serve the model that was loaded for them
    When the lease holder is stopped gracefully
    Then another node holds the fleet lease under a higher number

  Scenario: The operator's edit stays when hosts start at the same time
    # Guards against an update of the hosts that reverts an operator's edit.
    Given a registrar whose document an operator edits during its change
    When the registrar runs 3 steps
    Then the document has the edit and the started host

  Scenario: Only the lease holder changes the hosts, and a few times a minute
    # Guards against two nodes that change the document in turns, and against
    # a flapping cloud API that floods the nodes with versions.
    Given a registrar whose hosts change with each step
    When the registrar runs 5 steps without the lease
    Then no change was proposed
    When the registrar runs 100 steps with the lease
    Then 6 changes were proposed

  Scenario: Hosts leave the document only when the cloud API says so
    # Guards against removing hosts that another provider runs, or that are
    # absent from an answer for a moment.
    Given a registrar with hosts that are gone, unknown and not answered for
    When the registrar runs 3 steps
    Then only the host that is gone has left the document

  Scenario: Demand of all nodes and the rules give the wanted slots
    # Guards against demand that is lost or counted twice between nodes, and
    # against a rule without effect while there is no demand.
    Given rates of 2 nodes and a rule of 20 urgent slots
    Then the wish holds both rates and needs at least 20 slots without them
