Feature: Admission

  Scenario: A free slot is never left idle while a request waits
    # Guards against floors or fair queueing that delay a request while a slot is
    # free.
    Then any mix of arrivals, releases and capacities is work conserving

  Scenario: No rank starves below its floor
    # Guards against sustained urgent load that stops standard and batch work.
    Then every rank that always waits receives its floor within a few requests

  Scenario: A rank that used idle capacity keeps its floor under urgent load
    # Guards against a rank that starves because it is charged for capacity
    # that was idle otherwise.
    Given 500 batch requests of 400 tokens were served while nothing else waited
    When urgent requests always wait
    Then batch has 5% of the next 200000 tokens within two requests

  Scenario: Accounts of one rank share by weight
    # Guards against one account that takes the slots of the others.
    Then service by weight of any two waiting accounts differs by at most one request of each

  Scenario: A full queue drops a request of the largest backlog
    # Guards against one account that fills the queue and blocks the others.
    Given a queue of at most 20 entries filled by account "chain"
    When account "shop" sends one request of 100 tokens
    Then a request of "chain" is dropped and "shop" is served within 2 requests

  Scenario: A request that cannot meet its deadline is refused at once
    # Guards against queueing requests whose answers would be late.
    Given a service with 2 slots at 10 tokens per second and 40 waiting requests of 100 tokens
    When a request of 100 tokens with a deadline in 30 seconds is submitted
    Then it is refused as not run with a retry time between 1 and 60 seconds
    And the same request with a deadline in 600 seconds is queued

  Scenario: Expected tokens follow the observed answers
    # Guards against estimating every request at its stated limit.
    Then 60 answers of 40 tokens move the estimate for a limit of 1000 below 45

  Scenario: The controller grants, expires and counts
    # Guards against futures that are never resolved and slots that leak.
    Given a controller with one slot
    When two requests are submitted and the second may wait 50 milliseconds
    Then the first has the slot and the second fails with a deadline error
    And releasing its slot twice frees one slot only
    And closing the controller refuses a waiting request

  Scenario: The controller keeps its slots under concurrent use
    # Guards against races between submit, release and capacity changes.
    Given a controller with 3 slots
    When 8 threads submit and release 50 requests each
    Then at most 3 slots were held at once and none is in use at the end

  Scenario: A withdrawn request releases its slot
    # Guards against a slot that stays in use after its caller disconnected.
    Given a controller with one slot
    When a request is withdrawn before and after its grant
    Then no slot is in use

  Scenario: Under sustained overload requests start early enough for long answers
    # Guards against an overload in which every answer longer than the mean is
    # late, because all requests start as late as possible.
    Given a waiting request with a latest start at 10 seconds and an admission latest start at 4 seconds
    Then it expires after 6 seconds while its rank refuses requests, else after 10 seconds

  Scenario: A rank below an overloaded one estimates its wait from its floor
    # Guards against standard requests that are admitted while urgent work
    # overloads the service, and then expire.
    Given a service with 2 slots at 10 tokens per second and 5 waiting requests of 100 tokens
    Then the wait of one more is 25 seconds, and 250 seconds while urgent work is refused

  Scenario: Quiet workers are kept for small accounts under contention only
    # Guards against a large account that fills the batches of quiet workers,
    # and against idle slots without contention.
    Given 10 slots of which 2 are free at quiet workers and account "chain" uses 8 and waits for 30
    Then "chain" gets no slot and a request of "shop" gets one
    And urgent work of "chain" gets one
    And without other demand than 10 slots "chain" gets both
