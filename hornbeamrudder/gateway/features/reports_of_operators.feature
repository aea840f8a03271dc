Feature: Faults that operators of similar systems have reported

  Scenario Outline: An earlier refusal that is written once more reaches nobody
    # Guards against "not run, try again" for a request that a server runs.
    When a request on "look" gets "<first>" and one on "<route>" with <id> id follows
    Then the second one receives the complete response of the server that ran it once

    Examples: what follows on the server's connections
      | first            | route | id         |
      | repeated refusal | look  | another    |
      | repeated refusal | look  | the same   |
      | repeated refusal | book  | another    |
      | repeated refusal | book  | the same   |
      | nameless refusal | look  | another    |
      | nameless refusal | book  | another    |

  Scenario Outline: An error after the start of a stream does not reach its client
    # Guards against the text or the head of an error within a stream, and
    # against a stream that seems complete although it broke off.
    When a resumable stream breaks off and the next server responds with "<second>"
    Then the client receives part of the stream, and no end

    Examples: what the next server responds with
      | second     |
      | error text |
      | rejection  |
      | page       |
      | unsealed   |
      | garbled    |
      | error      |
      | full       |

  Scenario: Text before the first event of a resumed stream is left out
    # Guards against text that is no event within a stream.
    When a resumable stream breaks off and the next server responds with "stray text"
    Then the client receives each event of the stream once

  Scenario Outline: A slow stream is not cut
    # Guards against streams that are ended because their events are slow.
    When the events of a stream on "<route>" arrive every <interval> s
    Then the client receives each event of the stream once

    Examples: up to and above the route's longest pause of 0.6 s
      | route | interval |
      | plan  | 0.4      |
      | plan  | 0.7      |
      | chat  | 0.7      |
      | chat  | 1.2      |

  Scenario Outline: A stream that sends a byte now and then ends
    # Guards against streams without end, that hold a slot and their client.
    When a server sends a byte of an event on "<route>" now and then
    Then the client has <outcome> when its time is over and the server is disconnected

    Examples: whether another server may be tried
      | route | outcome             |
      | plan  | the complete stream |
      | chat  | an error            |

  Scenario Outline: Work of a server that was only silent goes on there
    # Guards against work that is started again elsewhere, or given up, as the
    # entry of its server lapsed for a moment.
    When the entry of the server of a stream on "<route>" is gone for <gone> s
    Then the client receives each event of the stream once
    And <servers> servers receive the request

    Examples: how long its entry is gone
      | route | gone | servers |
      | plan  | 0.5  | 1       |
      | chat  | 0.5  | 1       |

  Scenario Outline: An answer that ends within its head reaches nobody as a success
    # Guards against a 200 with an empty or a short body that seems whole.
    When a request on "<route>" gets "<first>" from each server
    Then the client receives 502

    Examples: how the head ends
      | route | first          |
      | book  | cut head       |
      | book  | cut head reset |
      | look  | cut head       |
      | chat  | cut head       |
      | chat  | cut head reset |
      | plan  | cut head       |

  Scenario Outline: An odd entry among those of the servers disturbs nothing
    # Guards against nodes that end, or answer no more, for a row of another
    # writer.
    When a row among the entries of servers holds <what>
    Then all requests are served by the other servers, and the node follows the table

    Examples: rows of another writer
      | what                |
      | 900 levels          |
      | 100000 levels       |
      | 5000 digits         |
      | 2^70                |
      | 1e300               |
      | 1e400               |
      | port 99999          |
      | port 65536          |
      | port -1             |
      | a host name         |
      | a NUL               |
      | bytes that are none |

  Scenario Outline: Odd rows are relayed to nodes that do not follow the store
    # Guards against hubs that end for a row that can't be packed.
    When odd rows are written to "<table>" beside a valid server, with 12 nodes
    Then each node runs and knows the valid server

    Examples: tables that nodes follow
      | table   |
      | servers |
      | nodes   |

  Scenario Outline: Odd numbers in the headers of a request get an answer
    # Guards against connections closed without an answer for a header.
    When a request on "<route>" states <number> in "<header>"
    Then the client receives a complete answer

    Examples: numbers that are none, or too large
      | route | header                               | number      |
      | look  | X-Hornbeamrudder-Deadline-Remaining  | nan         |
      | look  | X-Hornbeamrudder-Deadline-Remaining  | inf         |
      | look  | X-Hornbeamrudder-Deadline-Remaining  | 1e300       |
      | chat  | X-Hornbeamrudder-Token-Counts        | 3500 digits |
      | chat  | X-Hornbeamrudder-Length-Hint         | 3500 digits |
      | chat  | X-Hornbeamrudder-Prompt-Prefix       | 3500 digits |

  Scenario Outline: A failure within a node still gives the client an answer
    # Guards against connections closed without an answer by an exception.
    When serving a request on "look" fails within the node <when> it is sent
    Then the client receives <status>, and the next request is served

    Examples: 503 promises that nothing has run, 502 promises nothing
      | when   | status |
      | before | 503    |
      | after  | 502    |

  Scenario: An answer that changes the protocol is no answer
    # Guards against exceptions in the connection to a server.
    When a request on "look" gets "upgrade" from each server
    Then the client receives 502
