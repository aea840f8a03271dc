Feature: The configuration service over real connections

  Scenario: Four nodes agree, admit in an outage and lose a node
    # Guards against faults in the threads, network and table calls, which
    # the simulation does not cover.
    Given 4 services with an in-memory table service over loopback
    Then all admit and have the same members
    And an edit is accepted and reaches every node's callback
    And an edit based on the previous version gets a conflict
    And a document above 64 KB is refused without an object store
    And with the table service down all admit for 4 s and edits are refused
    And a write whose response is lost is accepted after a read back
    And a node that releases stops admitting and leaves the members
    And after one node fails an edit is accepted

  Scenario: Changes are accepted again after the loss of most members
    # Guards against changes that stay blocked after a majority of members
    # fails, and against taking members as terminated on insufficient proof.
    Given 4 services with an in-memory table service over loopback
    Then all admit and have the same members
    When 3 nodes fail
    Then edits are refused while the cloud API fails or shows the hosts as leaving
    And an edit is accepted once the cloud API records the hosts as gone

  Scenario: Replaced documents are deleted, those of later versions are kept
    # Guards against rows that are never deleted after a failed deletion, and
    # against deletion of the document of a change in progress.
    Given content rows of versions 3, 9, 10 and 12
    When the rows replaced by version 10 are deleted
    Then the content rows of versions 10 and 12 remain

  Scenario: A damaged row or document is not installed
    # Guards against installing a document that does not match its row.
    Given a table service whose content row is damaged
    Then a read returns the row without a document
    And a read of a damaged version row fails
