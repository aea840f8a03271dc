Feature: The configuration service over real connections

  Scenario: Four nodes agree, serve through an outage and lose a node
    # Guards against a fault in the wiring of threads, network and table,
    # which the simulation does not run.
    Given 4 services with an in-memory table service over loopback
    Then all admit and have the same members
    And an edit is accepted and reaches every node's callback
    And an edit based on the version before gets a conflict
    And a document above 64 KB is refused without an object store
    And with the table service down all admit for 4 s and edits are refused
    And a write whose response is lost is accepted after it is read back
    And a node that releases stops admitting and leaves the members
    And after one node stops without notice an edit is accepted

  Scenario: Changes go on after the loss of most members
    # Guards against changes that stay blocked when a majority ends without
    # notice, and against taking a record that proves nothing as their end.
    Given 4 services with an in-memory table service over loopback
    Then all admit and have the same members
    When 3 nodes stop without notice
    Then edits are refused while the cloud API fails or shows the hosts as leaving
    And an edit is accepted once the cloud API records the hosts as gone

  Scenario: Left over documents are deleted, those of later versions stay
    # Guards against rows that stay for good after a failed deletion, and
    # against deleting the document of a change in progress.
    Given content rows of versions 3, 9, 10 and 12
    When the rows replaced by version 10 are deleted
    Then the content rows of versions 10 and 12 are left

  Scenario: A damaged row or document is not installed
    # Guards against content that does not match the version row.
    Given a table service whose content row is damaged
    Then reading it gives the row without a document
    And a damaged version row is a failure
