Feature: Order records and their execution on threads

  Scenario: A record survives the conversion to a row and back
    # Guards against a request or answer that another node reads differently.
    Then 100 generated records are equal after conversion

  Scenario: A malformed row causes no exception
    # Guards against an exception in a node that reads the row.
    Then 150 malformed rows parse to a record or a failure without exception

  Scenario: Different accounts have different rows
    # Guards against a caller that receives the answer to another caller.
    Then the accounts "a/b", "a%2Fb" and "a" have different rows for any key

  Scenario: A batch is bounded and its rows are distinct
    # Guards against a batch that the table service rejects.
    Given 250 pending writes of 240 rows
    Then the batches have at most 100 items with distinct rows, in order

  Scenario: Two nodes receive the same orders at once
    # Guards against faults in the threads and clocks of the executor, which
    # the simulation does not cover, and against an exception of the table
    # client that ends the thread of the committer.
    Given an in-memory table that loses or corrupts some write responses
    When two nodes execute 40 orders each under the same keys
    Then each order ran once and both nodes returned its answer

  Scenario: Answers and texts that cannot be stored
    # Guards against a row or a batch that the table service rejects.
    Given an in-memory table that loses or corrupts some write responses
    Then a large answer is returned to its caller and recorded as unknown
    And a request with unencodable text is refused as not run

  Scenario: A send that waited too long is skipped
    # Guards against a send window that does not include the wait for a thread
    # of the pool.
    Given an in-memory table that loses or corrupts some write responses
    When an order waits for a thread beyond its send window
    Then it does not run and its caller receives "not run"

  Scenario: The node of an accepted order fails
    # Guards against the loss of accepted orders together with their node.
    When orders of a killed node are recovered on 40 seeds
    Then no guarantee is violated
    And recovery executes some of them

  Scenario: The rate of the recovery scan is limited
    # Guards against a recovery that uses up the write limit of the table.
    Given 1000 records past their retention
    Then 60 s of scanning deletes them all with at most 20 writes per second
