Feature: Routing

  Scenario: Shares never exceed the slots of a worker
    # Guards against nodes that together overload a worker.
    Then for any demand the shares of a worker add up to its slots unless nodes outnumber slots

  Scenario: Shares are max-min fair
    # Guards against a busy node that takes slots a less busy one requests.
    Then no node gets less than it requests while another gets more than it

  Scenario: All nodes compute the same shares
    # Guards against shares that depend on the order in which reports arrive.
    Then shares do not depend on the order in which demands are known

  Scenario: The share of a failed node goes to the others
    # Guards against slots that stay idle after an entry host is lost.
    Given 9 workers with 16 slots and 7 nodes that each request 40 slots
    When node "n3" fails
    Then the other nodes have all 144 slots and none has fewer than 20

  Scenario: Rounding does not favour the same nodes on all workers
    # Guards against a node that gets the rounded-down share of every worker.
    Given 9 workers with 16 slots and 7 nodes that each request 40 slots
    Then every node has between 16 and 26 slots

  Scenario: Requests with the same prefix go to the same worker while it is not overloaded
    # Guards against recomputing a prompt prefix on every worker.
    Given 9 workers without load
    Then 20 requests with one prefix go to one worker
    And with 1000 tokens per slot on that worker they go to other workers

  Scenario: No worker far above the mean load is chosen
    # Guards against a frequently requested prefix that overloads its worker.
    Then for any loads the chosen worker is within the bound where a free one is

  Scenario: Leaving, tried and recently failed workers get no work
    # Guards against sending a request to a host that is going away.
    Given 9 workers without load
    When workers 0 to 3 are leaving, worker 4 was tried and worker 5 failed 1 second ago
    Then only workers 6 to 8 are chosen
    And worker 5 is chosen again after 5 seconds

  Scenario: Work sent after a load report counts as load
    # Guards against a node that sends all its requests to one worker until the
    # next load report.
    Given two workers with equal reports
    When 5 requests of 100 tokens are sent to the first
    Then the second is chosen until a newer report arrives

  Scenario: A gap in the cache events discards the blocks stored before it
    # Guards against preferring a worker for blocks that it has evicted.
    Then late, repeated and lost events never leave a block that the engine evicted before the last known event

  Scenario: Losing a worker moves only its own prefixes
    # Guards against a loss of hosts that moves most prefixes and so makes the
    # caches of the remaining workers useless.
    Then removing a worker from the ring moves only the keys it held

  Scenario: Shares are recomputed when workers or nodes change
    # Guards against a node that keeps using the share of a node that is live
    # again, or that recomputes all shares for each request.
    Given shares of node "n1" of 9 workers that were computed at 10 s for a demand of 4
    Then a demand of 8 takes effect at 10.3 s and not at 10.1 s
    And another node takes effect at 10.1 s
    And the loss of a worker takes effect at 10.1 s

  Scenario: A ring is rebuilt only if the workers change
    # Guards against prefixes routed to a worker that was removed, and against
    # a long computation on each configuration change.
    Given the ring of workers "a,b,c"
    Then a change that leaves the workers "c,b,a" keeps the ring
    And a change to the workers "a,b,d" builds the ring of "a,b,d"
